package org.oleanderspring.coordination.lease;

import java.time.Duration;
import java.util.Objects;

/**
 * The times of leases.
 *
 * @param timeToLive how long a lease is held without renewal
 * @param safetyMargin how long before that time ends the holder considers its lease lost; covers
 *     the difference in speed between the clocks of the daemon and of the service
 * @param operationTimeout after which an operation without a reply counts as failed
 * @param retryDelay between a failed operation and the next one
 * @param rankDelay how long each rank waits for the rank before it to take a free lease
 */
public record LeaseSettings(
        Duration timeToLive,
        Duration safetyMargin,
        Duration operationTimeout,
        Duration retryDelay,
        Duration rankDelay) {
    /** Settings for a service that replies within milliseconds. */
    public static final LeaseSettings DEFAULT =
            new LeaseSettings(
                    Duration.ofSeconds(6),
                    Duration.ofSeconds(1),
                    Duration.ofSeconds(1),
                    Duration.ofMillis(250),
                    Duration.ofMillis(500));

    private static final int RENEWALS_PER_TIME_TO_LIVE = 3;

    /** Checks the ranges. */
    public LeaseSettings {
        requirePositive(timeToLive, "timeToLive");
        requirePositive(operationTimeout, "operationTimeout");
        requirePositive(retryDelay, "retryDelay");
        Objects.requireNonNull(safetyMargin, "safetyMargin");
        Objects.requireNonNull(rankDelay, "rankDelay");
        if (safetyMargin.isNegative() || rankDelay.isNegative()) {
            throw new IllegalArgumentException("safety margin or rank delay is negative");
        }
        if (safetyMargin.multipliedBy(2).compareTo(timeToLive) > 0) {
            throw new IllegalArgumentException("safety margin exceeds half the time to live");
        }
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
