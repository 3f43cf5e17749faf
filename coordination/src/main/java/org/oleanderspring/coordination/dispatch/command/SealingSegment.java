package org.oleanderspring.coordination.dispatch.command;

import java.util.List;
import java.util.Set;
import org.oleanderspring.coordination.dispatch.DispatchRecord;
import org.oleanderspring.coordination.dispatch.PartitionId;
import org.oleanderspring.coordination.dispatch.RecordCodec;
import org.oleanderspring.coordination.dispatch.SealedSegment;
import org.oleanderspring.coordination.dispatch.SealedValue;

/**
 * A segment of records that is being moved from the active value to a separate key of the key-value
 * service.
 *
 * @param entry the entry to list in the active value
 * @param records the records of the segment
 * @param bytes the encoded {@link SealedValue} of the segment
 * @param isWritten whether the key is known to contain the value
 */
record SealingSegment(
        SealedSegment entry, Set<DispatchRecord> records, byte[] bytes, boolean isWritten) {

    static SealingSegment of(
            PartitionId partition,
            int slot,
            long term,
            long writeNumber,
            List<DispatchRecord> records) {
        long latestSeconds = 0;
        for (DispatchRecord record : records) {
            latestSeconds = Math.max(latestSeconds, record.recordedAtSeconds());
        }
        SealedValue value = new SealedValue(partition, term, writeNumber, records);
        return new SealingSegment(
                new SealedSegment(slot, term, writeNumber, latestSeconds),
                Set.copyOf(records),
                RecordCodec.encode(value),
                false);
    }

    SealingSegment written() {
        return new SealingSegment(entry, records, bytes, true);
    }
}
