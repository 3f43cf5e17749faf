package org.oleanderspring.duty.command;

import org.oleanderspring.duty.query.RingUsage;

/**
 * Offers events that may be dropped under overload, such as messages that their senders repeat. It
 * leaves a part of the ring to events that must not be lost, such as replies.
 *
 * <p>The fill level is read before the offer, so concurrent offers may use some entries of the
 * reserve.
 *
 * @param <T> the type of event
 */
public final class ReservingSink<T> implements EventSink<T> {
    private final EventSink<T> mTarget;
    private final RingUsage mUsage;
    private final long mReserved;

    /**
     * Creates a sink that any thread may use.
     *
     * @param target the ring to offer to
     * @param usage the fill level of this ring
     * @param reserved the number of entries that stay free for other sinks
     */
    public ReservingSink(EventSink<T> target, RingUsage usage, long reserved) {
        mTarget = target;
        mUsage = usage;
        mReserved = reserved;
    }

    @Override
    public OfferResult offer(T event) {
        boolean isReserveReached = mUsage.capacity() - mUsage.used() <= mReserved;
        return isReserveReached ? OfferResult.FULL : mTarget.offer(event);
    }
}
