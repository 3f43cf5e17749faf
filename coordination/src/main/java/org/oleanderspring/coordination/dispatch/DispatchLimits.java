package org.oleanderspring.coordination.dispatch;

import java.time.Duration;
import java.util.Objects;

/**
 * Sizes and times of dispatch records that are fixed for one daemon run.
 *
 * @param partitionCount the number of partitions; the same for all daemons and for as long as
 *     records are kept
 * @param waitingClaimLimit how many claims may wait at a daemon
 * @param recordLimit how many records a partition keeps in memory; further claims are refused
 * @param sealBytes the size of an active value's records above which they are sealed; each write
 *     sends up to this much, so a smaller size saves bandwidth and a larger one saves keys
 * @param operationTimeout after which an operation without a reply counts as failed
 * @param retryDelay between a failed operation and the next one
 * @param takeoverDelay how long a daemon waits before it takes back a partition that another daemon
 *     took over
 * @param outcomeDelay how long an outcome waits for a claim with which it shares a write
 */
public record DispatchLimits(
        int partitionCount,
        int waitingClaimLimit,
        int recordLimit,
        int sealBytes,
        Duration operationTimeout,
        Duration retryDelay,
        Duration takeoverDelay,
        Duration outcomeDelay) {
    /** Limits for a service that replies within milliseconds and holds values up to 1 MB. */
    public static final DispatchLimits DEFAULT =
            new DispatchLimits(
                    16,
                    8_192,
                    1 << 20,
                    1 << 16,
                    Duration.ofSeconds(1),
                    Duration.ofMillis(50),
                    Duration.ofSeconds(2),
                    Duration.ofMillis(500));

    /** The largest allowed {@link #sealBytes}: a quarter of what the service holds. */
    public static final int LARGEST_SEAL_BYTES = 1 << 18;

    /** Checks the ranges. */
    public DispatchLimits {
        Objects.requireNonNull(operationTimeout, "operationTimeout");
        Objects.requireNonNull(retryDelay, "retryDelay");
        Objects.requireNonNull(takeoverDelay, "takeoverDelay");
        Objects.requireNonNull(outcomeDelay, "outcomeDelay");
        if (partitionCount < 1 || waitingClaimLimit < 1 || recordLimit < 1) {
            throw new IllegalArgumentException("dispatch limit is not positive");
        }
        if (sealBytes < 1 || sealBytes > LARGEST_SEAL_BYTES) {
            throw new IllegalArgumentException("seal size is out of range: " + sealBytes);
        }
    }
}
