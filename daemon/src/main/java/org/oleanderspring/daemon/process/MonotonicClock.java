package org.oleanderspring.daemon.process;

import java.time.Clock;
import java.time.Instant;
import java.time.ZoneId;
import java.time.ZoneOffset;

/**
 * A clock that never goes back. It starts at the wall-clock time and then follows {@link
 * System#nanoTime()}, so that an adjustment of the wall clock neither expires nor extends
 * deadlines. Safe for use by all threads.
 *
 * <p>The clock stops while the VM is suspended; {@link SuspendAwareClock} does not. Its zone is
 * always UTC, also after {@link #withZone}.
 */
public final class MonotonicClock extends Clock {
    private final Instant mStart;
    private final long mStartNanos;

    /**
     * Creates a clock that starts at the present wall-clock time.
     *
     * @param wallClock the source of the start time
     */
    public MonotonicClock(Clock wallClock) {
        mStart = wallClock.instant();
        mStartNanos = System.nanoTime();
    }

    /** Returns the current time, which is never before an earlier result. */
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
