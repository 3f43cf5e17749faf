package org.oleanderspring.standin.keyvalue;

/** A token bucket that holds the calls of one second. */
public final class Budget {
    private static final double NANOS_PER_SECOND = 1e9;

    private final double mCallsPerSecond;
    private double mTokens;
    private long mFilledNanos;

    /**
     * Creates a full bucket.
     *
     * @param callsPerSecond the calls allowed a second
     * @param nowNanos the monotonic time
     */
    public Budget(int callsPerSecond, long nowNanos) {
        mCallsPerSecond = callsPerSecond;
        mTokens = callsPerSecond;
        mFilledNanos = nowNanos;
    }

    /**
     * Takes a token if there is one.
     *
     * @param nowNanos the monotonic time
     */
    public boolean take(long nowNanos) {
        double gained = (nowNanos - mFilledNanos) / NANOS_PER_SECOND * mCallsPerSecond;
        mTokens = Math.min(mCallsPerSecond, mTokens + gained);
        mFilledNanos = nowNanos;
        if (mTokens < 1) {
            return false;
        }
        mTokens--;
        return true;
    }
}
