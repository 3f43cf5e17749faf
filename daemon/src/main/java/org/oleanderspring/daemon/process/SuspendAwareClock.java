package org.oleanderspring.daemon.process;

import java.time.Clock;
import java.time.Duration;
import java.time.Instant;

/**
 * A clock that also sees the time for which the VM was suspended; for the use of one thread.
 *
 * <p>The steady clock stands still while a VM is suspended, and the time of day may step in both
 * directions. Between two readings this clock moves on by the larger of the two distances. So it is
 * never slower than the steady clock, and a bound checked by it never ends too late: a step of the
 * time of day forward makes it end too early at worst.
 */
public final class SuspendAwareClock {
    private final Clock mWallClock;
    private Instant mNow;
    private Instant mLastWall;
    private long mLastNanos;

    /**
     * Creates a clock.
     *
     * @param wallClock the time of day
     */
    public SuspendAwareClock(Clock wallClock) {
        mWallClock = wallClock;
        mLastWall = wallClock.instant();
        mLastNanos = System.nanoTime();
        mNow = mLastWall;
    }

    /** Returns the present time; never goes back. */
    public Instant now() {
        long nanos = System.nanoTime();
        Instant wall = mWallClock.instant();
        Duration steady = Duration.ofNanos(nanos - mLastNanos);
        Duration byDay = Duration.between(mLastWall, wall);
        mLastNanos = nanos;
        mLastWall = wall;
        mNow = mNow.plus(byDay.compareTo(steady) > 0 ? byDay : steady);
        return mNow;
    }
}
