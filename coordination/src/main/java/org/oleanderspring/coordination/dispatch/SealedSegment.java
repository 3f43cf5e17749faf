package org.oleanderspring.coordination.dispatch;

import java.time.Duration;
import java.time.Instant;
import java.util.Objects;

/**
 * An active value's entry for records that were moved to a key of their own.
 *
 * <p>Slots are used again after the segment was forgotten, because the key-value service has no
 * removal of a single key. Term and number identify the content of a slot.
 *
 * @param slot the number in the key
 * @param term the owner term in which the segment was written
 * @param number the owner's number of the write; unique within the term
 * @param latestSeconds the time of the latest record, in seconds since 1970
 */
public record SealedSegment(int slot, long term, long number, long latestSeconds) {
    /** Checks the range of the slot. */
    public SealedSegment {
        if (slot < 0) {
            throw new IllegalArgumentException("slot is negative: " + slot);
        }
    }

    /**
     * Returns whether all records of the segment have outlived their retention.
     *
     * @param retention how long records are kept
     * @param now the current time
     */
    public boolean isExpired(Duration retention, Instant now) {
        Objects.requireNonNull(retention, "retention");
        return !Instant.ofEpochSecond(latestSeconds).plus(retention).isAfter(now);
    }
}
