package org.oleanderspring.coordination.dispatch.command;

import java.time.Duration;
import java.time.Instant;

/**
 * A token bucket that limits the rate of writes of all partitions of a daemon. It starts full and
 * allows short bursts.
 */
final class WriteBudget {
    /** The bucket holds the writes that the rate allows in this time, but at least one. */
    private static final double BURST_SECONDS = 0.05;

    private static final double NANOS_PER_SECOND = 1e9;

    private double mWritesPerSecond;
    private double mTokens = 1;
    private Instant mRefilledAt = Instant.MIN;

    WriteBudget(int writesPerSecond) {
        mWritesPerSecond = writesPerSecond;
    }

    void setRate(int writesPerSecond) {
        mWritesPerSecond = writesPerSecond;
    }

    boolean isAvailable(Instant now) {
        refill(now);
        return mTokens >= 1;
    }

    void take() {
        mTokens -= 1;
    }

    private void refill(Instant now) {
        double burst = Math.max(1, mWritesPerSecond * BURST_SECONDS);
        if (mRefilledAt.equals(Instant.MIN)) {
            mTokens = burst;
        } else if (now.isAfter(mRefilledAt)) {
            double seconds = Duration.between(mRefilledAt, now).toNanos() / NANOS_PER_SECOND;
            mTokens = Math.min(burst, mTokens + seconds * mWritesPerSecond);
        }
        mRefilledAt = now;
    }
}
