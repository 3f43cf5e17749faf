package org.oleanderspring.coordination.dispatch;

import java.time.Duration;
import java.util.Objects;

/**
 * Size limits and durations for dispatch records; fixed for one daemon run.
 *
 * @param partitionCount the number of partitions; must be the same for all daemons and must not
 *     change while records are kept
 * @param waitingClaimLimit the largest number of claims that may wait at a daemon until their
 *     records are written; further claims are refused
 * @param recordLimit the largest number of records that a partition keeps in memory; further claims
 *     are refused. A record takes 32 to 96 bytes: 24 bytes in a hash table that is a quarter to
 *     three quarters full
 * @param sealBytes the size of the records of an {@link ActiveValue}, in bytes, above which they
 *     are moved to a {@link SealedSegment}; each write sends up to this many bytes, so a smaller
 *     size saves bandwidth and a larger size needs fewer segment keys in the key-value service
 * @param operationTimeout time after which a read or write of the key-value service without a reply
 *     counts as failed
 * @param retryDelay time between a failed read or write of the key-value service and the next
 *     attempt
 * @param takeoverDelay the shortest time between a daemon's own takeover of a partition and its
 *     next one, if another daemon took the partition over in the meantime; limits how often two
 *     daemons that both should own the partition take it from each other. Also the time after which
 *     a partition with invalid stored values is read again: a damaged active value, one of another
 *     partition or partition count, or a sealed segment that is damaged, missing or not the listed
 *     one
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
    /**
     * Limits for a key-value service that replies within milliseconds and holds values up to 1 MB.
     */
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

    /**
     * The largest allowed {@link #sealBytes}: a quarter of the largest value of the key-value
     * service, because an active value also contains the list of sealed segments and the records
     * that one write adds.
     */
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
