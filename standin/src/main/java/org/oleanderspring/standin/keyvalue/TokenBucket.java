package org.oleanderspring.standin.keyvalue;

/** A token bucket that holds the calls of one second. */
public final class TokenBucket {
    private static final double NANOS_PER_SECOND = 1e9;

    private final double mCallsPerSecond;
    private double mTokens;
    private long mRefilledNanos;

    /**
     * Creates a full bucket.
     *
     * @param callsPerSecond the calls allowed a second
     * @param nowNanos the monotonic time
     */
    public TokenBucket(int callsPerSecond, long nowNanos) {
        mCallsPerSecond = callsPerSecond;
        mTokens = callsPerSecond;
        mRefilledNanos = nowNanos;
    }

    /**
     * Takes a token if there is one.
     *
     * @param nowNanos the monotonic time
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
