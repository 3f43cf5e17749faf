package org.oleanderspring.coordination.lease;

import java.time.Duration;
import java.util.Objects;

/**
 * Time-outs and delays of leases.
 *
 * @param timeToLive how long the key-value service keeps a lease without renewal
 * @param safetyMargin how long before the end of the time to live the holder considers its lease
 *     lost; covers the drift between the clocks of the daemon and of the service; at most half the
 *     time to live
 * @param operationTimeout time after which an operation without a reply counts as failed
 * @param retryDelay time between a failed operation and the next attempt
 * @param rankDelay delay per rank before a candidate tries to acquire a free lease, so that
 *     candidates of lower rank try first
 * @param pollInterval average time after which a candidate reads the key of another holder again
 */
public record LeaseOptions(
        Duration timeToLive,
        Duration safetyMargin,
        Duration operationTimeout,
        Duration retryDelay,
        Duration rankDelay,
        Duration pollInterval) {
    /** Defaults for a key-value service that replies within milliseconds. */
    public static final LeaseOptions DEFAULT =
            new LeaseOptions(
                    Duration.ofSeconds(6),
                    Duration.ofSeconds(1),
                    Duration.ofSeconds(1),
                    Duration.ofMillis(250),
                    Duration.ofMillis(500));

    private static final int RENEWALS_PER_TIME_TO_LIVE = 3;

    /**
     * Rejects negative durations, a safety margin of more than half the time to live, and zero for
     * any duration but the safety margin and the rank delay.
     */
    public LeaseOptions {
        requirePositive(timeToLive, "timeToLive");
        requirePositive(operationTimeout, "operationTimeout");
        requirePositive(retryDelay, "retryDelay");
        requirePositive(pollInterval, "pollInterval");
        Objects.requireNonNull(safetyMargin, "safetyMargin");
        Objects.requireNonNull(rankDelay, "rankDelay");
        if (safetyMargin.isNegative() || rankDelay.isNegative()) {
            throw new IllegalArgumentException(
                    "safety margin or rank delay is negative: " + safetyMargin + ", " + rankDelay);
        }
        if (safetyMargin.multipliedBy(2).compareTo(timeToLive) > 0) {
            throw new IllegalArgumentException(
                    "safety margin "
                            + safetyMargin
                            + " exceeds half the time to live of "
                            + timeToLive);
        }
    }

    /**
     * Creates options with a poll interval of one time to live, by which time the key of a failed
     * holder has been removed.
     *
     * @param timeToLive how long the key-value service keeps a lease without renewal
     * @param safetyMargin how long before the end of the time to live the holder considers its
     *     lease lost
     * @param operationTimeout time after which an operation without a reply counts as failed
     * @param retryDelay time between a failed operation and the next attempt
     * @param rankDelay delay per rank before a candidate tries to acquire a free lease
     */
    public LeaseOptions(
            Duration timeToLive,
            Duration safetyMargin,
            Duration operationTimeout,
            Duration retryDelay,
            Duration rankDelay) {
        this(timeToLive, safetyMargin, operationTimeout, retryDelay, rankDelay, timeToLive);
    }

    /** Returns the time between two renewals: a third of the time to live. */
    public Duration renewalPeriod() {
        return timeToLive.dividedBy(RENEWALS_PER_TIME_TO_LIVE);
    }

    private static void requirePositive(Duration duration, String name) {
        Objects.requireNonNull(duration, name);
        if (duration.isNegative() || duration.isZero()) {
            throw new IllegalArgumentException(name + " is not positive: " + duration);
        }
    }
}
