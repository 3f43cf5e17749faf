package org.oleanderspring.coordination.dispatch;

import java.util.List;
import java.util.Objects;
import org.oleanderspring.coordination.lease.FencingToken;
import org.oleanderspring.coordination.membership.MemberId;

/**
 * The active value of a partition: its owner, its latest records and the list of its sealed
 * segments. Owner, term and write number together are the mark that identifies one write.
 *
 * @param partition the partition
 * @param partitionCount the number of partitions for which the record was grouped
 * @param term the owner's term
 * @param owner the owner
 * @param writeNumber the owner's number of this write
 * @param sealed the sealed segments, oldest first
 * @param records the records that are not sealed, oldest first
 */
public record ActiveValue(
        PartitionId partition,
        int partitionCount,
        FencingToken term,
        MemberId owner,
        long writeNumber,
        List<SealedSegment> sealed,
        List<DispatchRecord> records) {
    /** Copies the lists. */
    public ActiveValue {
        Objects.requireNonNull(partition, "partition");
        Objects.requireNonNull(term, "term");
        Objects.requireNonNull(owner, "owner");
        sealed = List.copyOf(sealed);
        records = List.copyOf(records);
    }
}
