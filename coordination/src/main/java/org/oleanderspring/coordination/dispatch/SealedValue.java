package org.oleanderspring.coordination.dispatch;

import java.util.List;
import java.util.Objects;

/**
 * The value stored for a sealed segment.
 *
 * @param partition the partition
 * @param term the owner term in which the segment was written
 * @param writeNumber the number that the owner assigned to the write; unique among its writes in
 *     this term
 * @param records the records, oldest first
 */
public record SealedValue(
        PartitionId partition, long term, long writeNumber, List<DispatchRecord> records) {
    /** Rejects a null partition or list and copies the list. */
    public SealedValue {
        Objects.requireNonNull(partition, "partition");
        records = List.copyOf(records);
    }

    /**
     * Returns whether this value is the content of a segment that an active value lists.
     *
     * @param segment the entry of the active value
     */
    public boolean isContentOf(SealedSegment segment) {
        return term == segment.term() && writeNumber == segment.writeNumber();
    }
}
