package org.oleanderspring.core.routing.command;

import java.time.Instant;
import org.oleanderspring.core.routing.RoutingLimits;
import org.oleanderspring.core.routing.Target;

/**
 * A token bucket that each first attempt fills by a percentage of a retry, so that retries cannot
 * multiply the load on endpoints that already fail. One bucket serves all targets, and it is not
 * filled as time passes.
 */
public final class TokenBucketRetryBudget implements RetryBudget {
    /** Initial number of retries, so that a daemon with few calls can retry too. */
    static final int INITIAL_RETRIES = 10;

    /**
     * Maximum number of retries in the bucket, so that an old surplus cannot cause a retry storm.
     */
    static final int MAX_RETRIES = 100;

    private static final int HUNDREDTHS_PER_RETRY = 100;

    private long mHundredths = (long) INITIAL_RETRIES * HUNDREDTHS_PER_RETRY;

    /** Creates a bucket with {@link #INITIAL_RETRIES} retries. */
    public TokenBucketRetryBudget() {}

    @Override
    public void recordFirstAttempt(Target target, RoutingLimits limits, Instant now) {
        mHundredths =
                Math.min(
                        mHundredths + limits.retryBudgetPercent(),
                        (long) MAX_RETRIES * HUNDREDTHS_PER_RETRY);
    }

    @Override
    public boolean tryTakeRetry(Target target, RoutingLimits limits, Instant now) {
        if (mHundredths < HUNDREDTHS_PER_RETRY) {
            return false;
        }
        mHundredths -= HUNDREDTHS_PER_RETRY;
        return true;
    }

    @Override
    public int retriesLeft() {
        return (int) (mHundredths / HUNDREDTHS_PER_RETRY);
    }
}
