package org.oleanderspring.coordination.dispatch;

import java.time.Duration;
import java.time.Instant;
import java.util.Objects;

/**
 * An entry of an active value for a segment of records that were moved to a separate key.
 *
 * <p>A slot is a numbered key of the partition. It is reused after its segment has expired, because
 * the key-value port has no operation that removes a single key. Term and write number identify the
 * content of a slot.
 *
 * @param slot the number of the slot, part of its key
 * @param term the owner term in which the segment was written
 * @param writeNumber the number that the owner assigned to the write; unique among its writes in
 *     this term
 * @param latestSeconds the time of the latest record, in seconds since the epoch
 */
public record SealedSegment(int slot, long term, long writeNumber, long latestSeconds) {
    /** Rejects a negative slot. */
    public SealedSegment {
        if (slot < 0) {
            throw new IllegalArgumentException("slot is negative: " + slot);
        }
    }

    /**
     * Returns whether the retention of all records of the segment has passed.
     *
     * @param retention how long records are kept
     * @param now the current time
     */
    public boolean isExpired(Duration retention, Instant now) {
        Objects.requireNonNull(retention, "retention");
        return !Instant.ofEpochSecond(latestSeconds).plus(retention).isAfter(now);
    }
}
