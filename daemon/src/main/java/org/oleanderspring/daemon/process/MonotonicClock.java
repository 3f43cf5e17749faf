package org.oleanderspring.daemon.process;

import java.time.Clock;
import java.time.Instant;
import java.time.ZoneId;
import java.time.ZoneOffset;

/**
 * A clock that never goes back. It starts at the wall clock's time and then follows the monotonic
 * timer, so that a corrected wall clock neither expires nor extends deadlines.
 */
public final class MonotonicClock extends Clock {
    private final Instant mStart;
    private final long mStartNanos;

    /**
     * Starts the clock.
     *
     * @param wallClock gives the time of the start
     */
    public MonotonicClock(Clock wallClock) {
        mStart = wallClock.instant();
        mStartNanos = System.nanoTime();
    }

    /** Returns the current time. */
    public Instant now() {
        return mStart.plusNanos(System.nanoTime() - mStartNanos);
    }

    @Override
    public Instant instant() {
        return now();
    }

    @Override
    public ZoneId getZone() {
        return ZoneOffset.UTC;
    }

    @Override
    public Clock withZone(ZoneId zone) {
        return this;
    }
}
