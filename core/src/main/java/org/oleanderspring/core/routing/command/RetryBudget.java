package org.oleanderspring.core.routing.command;

/**
 * The retries that a daemon may make: a token bucket filled in percent of the first attempts, so
 * that retries cannot multiply the load on endpoints that already fail.
 */
final class RetryBudget {
    /** The bucket starts with this many retries, so that a daemon with few calls can retry. */
    static final int INITIAL_RETRIES = 10;

    /** The bucket holds at most this many retries, so that an old surplus cannot fuel a storm. */
    static final int LARGEST_RETRIES = 100;

    private static final int HUNDREDTHS = 100;

    private long mHundredths = (long) INITIAL_RETRIES * HUNDREDTHS;

    /** Notes a first attempt. */
    void firstAttempt(int percent) {
        mHundredths = Math.min(mHundredths + percent, (long) LARGEST_RETRIES * HUNDREDTHS);
    }

    /** Takes one retry out of the bucket if it holds one. */
    boolean takeRetry() {
        if (mHundredths < HUNDREDTHS) {
            return false;
        }
        mHundredths -= HUNDREDTHS;
        return true;
    }

    int retriesLeft() {
        return (int) (mHundredths / HUNDREDTHS);
    }
}
