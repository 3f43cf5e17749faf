package org.oleanderspring.core.routing;

import java.time.Duration;

/**
 * The limits that operators set for routing.
 *
 * @param queueLimit the maximum number of calls that may wait for one target
 * @param attemptLimit the maximum number of attempts of one call
 * @param retryBudgetPercent how many retries the daemon may make per hundred first attempts
 * @param activationInterval the minimum time between two activation requests for a target
 * @param extraRetries the number of retries per window that are permitted beyond the percentage
 * @param retryWindow the length of the window in which retries are counted
 */
public record RoutingLimits(
        int queueLimit,
        int attemptLimit,
        int retryBudgetPercent,
        Duration activationInterval,
        int extraRetries,
        Duration retryWindow) {
    private static final Duration DEFAULT_RETRY_WINDOW = Duration.ofSeconds(10);

    /** The limits that apply before the settings are known. */
    public static final RoutingLimits DEFAULT =
            new RoutingLimits(256, 3, 10, Duration.ofSeconds(1));

    /** Rejects negative limits, an attempt limit below 1 and durations that are not positive. */
    public RoutingLimits {
        if (queueLimit < 0 || attemptLimit < 1 || retryBudgetPercent < 0 || extraRetries < 0) {
            throw new IllegalArgumentException(
                    "routing limit is out of range: queue "
                            + queueLimit
                            + ", attempts "
                            + attemptLimit
                            + ", retry budget "
                            + retryBudgetPercent
                            + "%, extra retries "
                            + extraRetries
                            + "; allowed: at least 1 attempt, the others at least 0");
        }
        if (activationInterval.isNegative() || activationInterval.isZero()) {
            throw new IllegalArgumentException(
                    "activation interval is not positive: " + activationInterval);
        }
        if (retryWindow.isNegative() || retryWindow.isZero()) {
            throw new IllegalArgumentException("retry window is not positive: " + retryWindow);
        }
    }

    /**
     * Creates limits without extra retries and with a retry window of 10 seconds.
     *
     * @param queueLimit the maximum number of calls that may wait for one target
     * @param attemptLimit the maximum number of attempts of one call
     * @param retryBudgetPercent how many retries the daemon may make per hundred first attempts
     * @param activationInterval the minimum time between two activation requests for a target
     */
    public RoutingLimits(
            int queueLimit, int attemptLimit, int retryBudgetPercent, Duration activationInterval) {
        this(
                queueLimit,
                attemptLimit,
                retryBudgetPercent,
                activationInterval,
                0,
                DEFAULT_RETRY_WINDOW);
    }
}
