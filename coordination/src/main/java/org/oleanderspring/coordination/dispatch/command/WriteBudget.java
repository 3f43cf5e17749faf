package org.oleanderspring.coordination.dispatch.command;

import java.time.Duration;
import java.time.Instant;

/**
 * A token bucket that limits the rate at which all partitions of a daemon together write to the
 * key-value service. It starts full.
 */
final class WriteBudget {
    /**
     * The bucket holds the writes that the rate allows in this time, but at least one. Several
     * writes at once are therefore possible only at rates of 40 writes per second or more.
     */
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

    /** Takes one write; call this only after {@link #isAvailable} returned true. */
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
