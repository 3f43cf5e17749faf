package org.oleanderspring.core.routing;

import java.time.Duration;

/**
 * The operators' settings that routing follows.
 *
 * @param queueLimit how many calls may wait for one target
 * @param attemptLimit how many attempts a call may have
 * @param retryBudgetPercent how many retries the daemon may make for each hundred first attempts
 * @param activationInterval how long to wait before a wake request is repeated
 * @param extraRetries how many retries a window may hold beyond the percentage
 * @param retryWindow the length of that window
 */
public record RoutingLimits(
        int queueLimit,
        int attemptLimit,
        int retryBudgetPercent,
        Duration activationInterval,
        int extraRetries,
        Duration retryWindow) {
    private static final Duration USUAL_RETRY_WINDOW = Duration.ofSeconds(10);

    /** The limits before the settings are known. */
    public static final RoutingLimits DEFAULT =
            new RoutingLimits(256, 3, 10, Duration.ofSeconds(1));

    /** Checks the ranges. */
    public RoutingLimits {
        if (queueLimit < 0 || attemptLimit < 1 || retryBudgetPercent < 0 || extraRetries < 0) {
            throw new IllegalArgumentException("routing limit is out of range");
        }
        if (activationInterval.isNegative() || activationInterval.isZero()) {
            throw new IllegalArgumentException(
                    "wake repeat is not positive: " + activationInterval);
        }
        if (retryWindow.isNegative() || retryWindow.isZero()) {
            throw new IllegalArgumentException("retry window is not positive: " + retryWindow);
        }
    }

    /**
     * Creates limits without extra retries.
     *
     * @param queueLimit how many calls may wait for one target
     * @param attemptLimit how many attempts a call may have
     * @param retryBudgetPercent how many retries there may be for each hundred first attempts
     * @param wakeRepeat how long to wait before a wake request is repeated
     */
    public RoutingLimits(
            int queueLimit, int attemptLimit, int retryBudgetPercent, Duration activationInterval) {
        this(
                queueLimit,
                attemptLimit,
                retryBudgetPercent,
                activationInterval,
                0,
                USUAL_RETRY_WINDOW);
    }
}
