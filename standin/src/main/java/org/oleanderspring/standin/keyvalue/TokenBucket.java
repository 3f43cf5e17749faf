package org.oleanderspring.standin.keyvalue;

/** A token bucket whose capacity equals the rate, so that a burst of one second is admitted. */
public final class TokenBucket {
    private static final double NANOS_PER_SECOND = 1e9;

    private final double mCallsPerSecond;
    private double mTokens;
    private long mRefilledNanos;

    /**
     * Creates a full bucket.
     *
     * @param callsPerSecond the calls allowed per second
     * @param nowNanos the current time of {@link System#nanoTime()}
     */
    public TokenBucket(int callsPerSecond, long nowNanos) {
        mCallsPerSecond = callsPerSecond;
        mTokens = callsPerSecond;
        mRefilledNanos = nowNanos;
    }

    /**
     * Refills the bucket and takes a token if one is available.
     *
     * @param nowNanos the current time of {@link System#nanoTime()}
     * @return whether a token was taken
     */
    public boolean tryTake(long nowNanos) {
        double gained = (nowNanos - mRefilledNanos) / NANOS_PER_SECOND * mCallsPerSecond;
        mTokens = Math.min(mCallsPerSecond, mTokens + gained);
        mRefilledNanos = nowNanos;
        if (mTokens < 1) {
            return false;
        }
        mTokens--;
        return true;
    }
}
