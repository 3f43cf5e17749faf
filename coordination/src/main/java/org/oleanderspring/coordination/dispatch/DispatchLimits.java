package org.oleanderspring.coordination.dispatch;

import java.time.Duration;
import java.util.Objects;

/**
 * Size limits and durations for dispatch records; fixed for one daemon run.
 *
 * @param partitionCount the number of partitions; must be the same for all daemons and must not
 *     change while records are kept
 * @param waitingClaimLimit the largest number of claims that may wait at a daemon
 * @param recordLimit the largest number of records that a partition keeps in memory, each taking 24
 *     bytes in a table that is a quarter to three quarters full; further claims are refused
 * @param sealBytes the size of an active value's records, in bytes, above which they are moved to a
 *     sealed segment; each write sends up to this many bytes, so a smaller size saves bandwidth and
 *     a larger size saves keys
 * @param operationTimeout time after which an operation without a reply counts as failed
 * @param retryDelay time between a failed operation and the next attempt
 * @param takeoverDelay the shortest time between a daemon's own takeover of a partition and its
 *     next one, if another daemon took the partition over in the meantime; also the time after
 *     which a partition with invalid values is read again
 * @param outcomeDelay the longest time that an outcome waits for a claim with which it can share a
 *     write
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
                    1 << 19,
                    1 << 16,
                    Duration.ofSeconds(1),
                    Duration.ofMillis(50),
                    Duration.ofSeconds(2),
                    Duration.ofMillis(500));

    /** The largest allowed {@link #sealBytes}: a quarter of the largest value of the service. */
    public static final int LARGEST_SEAL_BYTES = 1 << 18;

    /**
     * Rejects null durations, numbers less than 1, and a seal size of more than {@link
     * #LARGEST_SEAL_BYTES}.
     */
    public DispatchLimits {
        Objects.requireNonNull(operationTimeout, "operationTimeout");
        Objects.requireNonNull(retryDelay, "retryDelay");
        Objects.requireNonNull(takeoverDelay, "takeoverDelay");
        Objects.requireNonNull(outcomeDelay, "outcomeDelay");
        if (partitionCount < 1 || waitingClaimLimit < 1 || recordLimit < 1) {
            throw new IllegalArgumentException(
                    "dispatch limit is not positive: partitionCount="
                            + partitionCount
                            + ", waitingClaimLimit="
                            + waitingClaimLimit
                            + ", recordLimit="
                            + recordLimit);
        }
        if (sealBytes < 1 || sealBytes > LARGEST_SEAL_BYTES) {
            throw new IllegalArgumentException(
                    "seal size of "
                            + sealBytes
                            + " bytes is out of range; allowed: 1 to "
                            + LARGEST_SEAL_BYTES);
        }
    }
}
