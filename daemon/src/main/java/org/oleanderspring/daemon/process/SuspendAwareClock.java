package org.oleanderspring.daemon.process;

import java.time.Clock;
import java.time.Duration;
import java.time.Instant;

/**
 * A clock that also advances by the time for which the VM was suspended. Thread-safe, because
 * threads that compare times of this clock must use one instance: two of them may differ.
 *
 * <p>The monotonic clock stops while the VM is suspended, and the wall clock may step in both
 * directions. Between two readings this clock advances by the larger of the two elapsed times. It
 * is therefore never slower than the monotonic clock, and a time limit checked against it never
 * ends too late. At worst, a forward step of the wall clock ends the limit too early.
 */
public final class SuspendAwareClock {
    private final Clock mWallClock;
    private Instant mNow;
    private Instant mLastWall;
    private long mLastNanos;

    /**
     * Creates a clock that starts at the present wall-clock time.
     *
     * @param wallClock the wall clock
     */
    public SuspendAwareClock(Clock wallClock) {
        mWallClock = wallClock;
        mLastWall = wallClock.instant();
        mLastNanos = System.nanoTime();
        mNow = mLastWall;
    }

    /** Returns the current time, which is never before an earlier result. */
    public synchronized Instant now() {
        long nanos = System.nanoTime();
        Instant wall = mWallClock.instant();
        Duration monotonicElapsed = Duration.ofNanos(nanos - mLastNanos);
        Duration wallElapsed = Duration.between(mLastWall, wall);
        mLastNanos = nanos;
        mLastWall = wall;
        mNow =
                mNow.plus(
                        wallElapsed.compareTo(monotonicElapsed) > 0
                                ? wallElapsed
                                : monotonicElapsed);
        return mNow;
    }
}
