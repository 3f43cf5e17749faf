package org.oleanderspring.daemon.process;

import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.util.function.LongSupplier;

/**
 * A clock that also advances by the time for which the VM was suspended. Thread-safe, because
 * threads that compare times of this clock must use one instance: two of them may differ.
 *
 * <p>The monotonic clock stops while the VM is suspended, and the wall clock may step in both
 * directions. Between two readings this clock advances by the larger of the two elapsed times. It
 * is therefore never slower than the monotonic clock, and a time limit checked against it never
 * ends too late. A forward step of the wall clock may end the limit too early: once, by the length
 * of the step, since the step back is ignored. That is safe for a lease, which is acquired again. A
 * wait that must not end too early is checked against the time less {@link #excess()}.
 */
public final class SuspendAwareClock {
    private final Clock mWallClock;
    private Instant mNow;
    private Instant mLastWall;
    private final LongSupplier mNanos;
    private long mLastNanos;
    private Duration mExcess = Duration.ZERO;

    /**
     * Creates a clock that starts at the present wall-clock time.
     *
     * @param wallClock the wall clock
     */
    public SuspendAwareClock(Clock wallClock) {
        this(wallClock, System::nanoTime);
    }

    /**
     * Creates a clock that starts at the present wall-clock time.
     *
     * @param wallClock the wall clock
     * @param nanos the monotonic clock, in nanoseconds
     */
    public SuspendAwareClock(Clock wallClock, LongSupplier nanos) {
        mWallClock = wallClock;
        mNanos = nanos;
        mLastWall = wallClock.instant();
        mLastNanos = nanos.getAsLong();
        mNow = mLastWall;
    }

    /** Returns the current time, which is never before an earlier result. */
    public synchronized Instant now() {
        long nanos = mNanos.getAsLong();
        Instant wall = mWallClock.instant();
        Duration monotonicElapsed = Duration.ofNanos(nanos - mLastNanos);
        Duration wallElapsed = Duration.between(mLastWall, wall);
        mLastNanos = nanos;
        mLastWall = wall;
        Duration excess = wallElapsed.minus(monotonicElapsed);
        if (!excess.isNegative()) {
            mExcess = mExcess.plus(excess);
        }
        mNow = mNow.plus(excess.isNegative() ? monotonicElapsed : wallElapsed);
        return mNow;
    }

    /**
     * Returns by how much this clock has advanced more than the monotonic clock until the last
     * reading: the time for which the VM was suspended and the forward steps of the wall clock.
     */
    public Duration excess() {
        return mExcess;
    }
}
