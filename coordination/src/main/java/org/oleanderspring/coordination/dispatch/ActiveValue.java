package org.oleanderspring.coordination.dispatch;

import java.util.List;
import java.util.Objects;
import org.oleanderspring.coordination.lease.FencingToken;
import org.oleanderspring.coordination.membership.MemberId;

/**
 * The active value of a partition: its owner, its latest records and the list of its sealed
 * segments, as stored in the key-value service. Owner, term and write number together identify one
 * write.
 *
 * @param partition the partition
 * @param partitionCount the number of partitions by which the records were assigned to this
 *     partition
 * @param term the owner term, a fencing token that each takeover of the partition increases
 * @param owner the owner
 * @param writeNumber the number of this write; unique among the writes of one owner
 * @param sealed the entries of the sealed segments, oldest first
 * @param records the records that are not in a sealed segment, oldest first
 */
public record ActiveValue(
        PartitionId partition,
        int partitionCount,
        FencingToken term,
        MemberId owner,
        long writeNumber,
        List<SealedSegment> sealed,
        List<DispatchRecord> records) {
    /** Rejects null components and copies the lists. */
    public ActiveValue {
        Objects.requireNonNull(partition, "partition");
        Objects.requireNonNull(term, "term");
        Objects.requireNonNull(owner, "owner");
        sealed = List.copyOf(sealed);
        records = List.copyOf(records);
    }
}
