package org.oleanderspring.duty.command;

import java.time.Duration;

/**
 * Offers events that must not be lost, such as the results of I/O that a duty waits for.
 *
 * <p>If the ring is full, the timer offers the event again every 10 ms until it is accepted, so the
 * offering thread neither blocks nor drops the event. An event for a stopped duty is dropped.
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
    public OfferResult offer(T event) {
        OfferResult result = mTarget.offer(event);
        if (result == OfferResult.FULL) {
            mTimer.schedule(RETRY_DELAY, this, event);
        }
        return result;
    }
}
