package org.oleanderspring.duty.command;

import java.time.Duration;
import java.time.Instant;
import java.util.function.Supplier;

/**
 * Gives a duty short ticks only while it has work whose time matters. Together with a slow regular
 * tick this keeps an idle duty asleep; a thread that wakes up 50 times a second costs about 1% of a
 * core without doing anything.
 *
 * <p>Owned by the duty's thread. At most one tick is requested for each short period, so requests
 * from several events do not add up.
 *
 * @param <T> the type of event
 */
public final class BusyTicker<T> {
    private final DutyTimer mTimer;
    private final EventSink<T> mSink;
    private final Supplier<T> mTick;
    private final Duration mPeriod;
    private Instant mNextAt = Instant.MIN;

    /**
     * Creates a ticker.
     *
     * @param timer the timer duty
     * @param sink the ring of the duty
     * @param tick makes a tick event
     * @param period the time between two ticks of a busy duty
     */
    public BusyTicker(DutyTimer timer, EventSink<T> sink, Supplier<T> tick, Duration period) {
        mTimer = timer;
        mSink = sink;
        mTick = tick;
        mPeriod = period;
    }

    /**
     * Asks for a tick, unless one is on its way. To be called after each event that leaves the duty
     * busy.
     *
     * @param now the current time
     */
    public void request(Instant now) {
        if (now.isBefore(mNextAt)) {
            return;
        }
        mNextAt = now.plus(mPeriod);
        mTimer.after(mPeriod, mSink, mTick.get());
    }
}
