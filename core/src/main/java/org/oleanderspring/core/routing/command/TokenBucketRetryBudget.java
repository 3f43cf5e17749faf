package org.oleanderspring.core.routing.command;

import java.time.Instant;
import org.oleanderspring.core.routing.RoutingLimits;
import org.oleanderspring.core.routing.Target;

/**
 * The retries that a daemon may make: a token bucket filled in percent of the first attempts, so
 * that retries cannot multiply the load on endpoints that already fail.
 */
public final class TokenBucketRetryBudget implements RetryBudget {
    /** The bucket starts with this many retries, so that a daemon with few calls can retry. */
    static final int INITIAL_RETRIES = 10;

    /** The bucket holds at most this many retries, so that an old surplus cannot fuel a storm. */
    static final int LARGEST_RETRIES = 100;

    private static final int HUNDREDTHS = 100;

    private long mHundredths = (long) INITIAL_RETRIES * HUNDREDTHS;

    /** Creates a bucket with the initial retries. */
    public TokenBucketRetryBudget() {}

    @Override
    public void firstAttempt(Target target, RoutingLimits limits, Instant now) {
        mHundredths =
                Math.min(
                        mHundredths + limits.retryBudgetPercent(),
                        (long) LARGEST_RETRIES * HUNDREDTHS);
    }

    @Override
    public boolean takeRetry(Target target, RoutingLimits limits, Instant now) {
        if (mHundredths < HUNDREDTHS) {
            return false;
        }
        mHundredths -= HUNDREDTHS;
        return true;
    }

    @Override
    public int retriesLeft() {
        return (int) (mHundredths / HUNDREDTHS);
    }
}
