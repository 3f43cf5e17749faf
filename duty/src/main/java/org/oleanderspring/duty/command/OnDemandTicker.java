package org.oleanderspring.duty.command;

import java.time.Duration;
import java.time.Instant;
import java.util.function.Supplier;

/**
 * Schedules short-period ticks for a duty only while the duty has time-critical work.
 *
 * <p>Combined with a slow periodic tick, this lets an idle duty sleep: a thread that wakes up 50
 * times per second costs about 1% of a core even when it does nothing.
 *
 * <p>Used only on the duty's thread. At most one tick is scheduled per period, however many events
 * request one.
 *
 * @param <T> the type of event
 */
public final class OnDemandTicker<T> {
    private final DutyTimer mTimer;
    private final EventSink<T> mSink;
    private final Supplier<T> mTickFactory;
    private final Duration mPeriod;
    private Instant mPendingTickDueAt = Instant.MIN;

    /**
     * Creates a ticker, which schedules nothing before the first request.
     *
     * @param timer schedules the ticks
     * @param sink the duty's ring
     * @param tickFactory creates a tick event
     * @param period the time from a request to its tick
     */
    public OnDemandTicker(
            DutyTimer timer, EventSink<T> sink, Supplier<T> tickFactory, Duration period) {
        mTimer = timer;
        mSink = sink;
        mTickFactory = tickFactory;
        mPeriod = period;
    }

    /**
     * Schedules a tick after one period unless one is already scheduled. Must be called after each
     * event that leaves the duty with time-critical work.
     *
     * @param now the current time
     */
    public void requestTick(Instant now) {
        if (now.isBefore(mPendingTickDueAt)) {
            return;
        }
        mPendingTickDueAt = now.plus(mPeriod);
        mTimer.schedule(mPeriod, mSink, mTickFactory.get());
    }
}
