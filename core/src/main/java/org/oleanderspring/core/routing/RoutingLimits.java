package org.oleanderspring.core.routing;

import java.time.Duration;

/**
 * The operators' settings that routing follows.
 *
 * @param queueLimit how many calls may wait for one target
 * @param attemptLimit how many attempts a call may have
 * @param retryBudgetPercent how many retries the daemon may make for each hundred first attempts
 * @param wakeRepeat how long to wait before a wake request is repeated
 */
public record RoutingLimits(
        int queueLimit, int attemptLimit, int retryBudgetPercent, Duration wakeRepeat) {
    /** The limits before the settings are known. */
    public static final RoutingLimits DEFAULT =
            new RoutingLimits(256, 3, 10, Duration.ofSeconds(1));

    /** Checks the ranges. */
    public RoutingLimits {
        if (queueLimit < 0 || attemptLimit < 1 || retryBudgetPercent < 0) {
            throw new IllegalArgumentException("routing limit is out of range");
        }
        if (wakeRepeat.isNegative() || wakeRepeat.isZero()) {
            throw new IllegalArgumentException("wake repeat is not positive: " + wakeRepeat);
        }
    }
}
