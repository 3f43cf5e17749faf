package org.oleanderspring.duty.command;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Offers events that must not be lost, such as the results of I/O that a duty waits for.
 *
 * <p>If the ring is full, the timer offers the event again every 10 ms until it is accepted, so the
 * offering thread neither blocks nor drops the event. Later events of the same sink wait behind it,
 * so that the duty gets them in the order of their offers. An event for a stopped duty is dropped.
 *
 * <p>Unlike with other sinks, the result {@link OfferResult#FULL} means that the event will still
 * be offered, so the caller must not offer it again.
 *
 * @param <T> the type of event
 */
public final class RetryingSink<T> implements EventSink<T> {
    private static final Duration RETRY_DELAY = Duration.ofMillis(10);

    private final EventSink<T> mTarget;
    private final DutyTimer mTimer;

    /** The events that the ring did not accept yet, oldest first; guarded by this object. */
    private final Deque<T> mPending = new ArrayDeque<>();

    /**
     * Creates a sink that any thread may use.
     *
     * @param target the ring to offer to
     * @param timer schedules the retries and offers the events again on its thread
     */
    public RetryingSink(EventSink<T> target, DutyTimer timer) {
        mTarget = target;
        mTimer = timer;
    }

    @Override
    public synchronized OfferResult offer(T event) {
        if (!mPending.isEmpty()) {
            mPending.addLast(event);
            return OfferResult.FULL;
        }
        OfferResult result = mTarget.offer(event);
        if (result == OfferResult.FULL) {
            mPending.addLast(event);
            scheduleRetry();
        }
        return result;
    }

    private void scheduleRetry() {
        mTimer.schedule(RETRY_DELAY, event -> retry(), mPending.getFirst());
    }

    /** Offers the pending events until the ring is full again. */
    private synchronized OfferResult retry() {
        OfferResult result = OfferResult.ACCEPTED;
        while (!mPending.isEmpty() && result != OfferResult.FULL) {
            result = mTarget.offer(mPending.getFirst());
            if (result != OfferResult.FULL) {
                mPending.removeFirst();
            }
        }
        if (!mPending.isEmpty()) {
            scheduleRetry();
        }
        return result;
    }
}
