package org.oleanderspring.coordination.dispatch.query;

import java.util.Optional;
import java.util.Set;
import org.oleanderspring.coordination.dispatch.ActiveValue;
import org.oleanderspring.coordination.dispatch.IdempotencyKey;
import org.oleanderspring.coordination.dispatch.PartitionId;
import org.oleanderspring.coordination.membership.MemberId;

/**
 * Assigns partitions to daemons. The assignment is only a hint: daemons may disagree about it, and
 * the owner term in the partition's {@link ActiveValue} determines the actual owner.
 */
public interface PartitionMap {
    /**
     * Returns the partition of a key.
     *
     * @param key the idempotency key
     */
    PartitionId partitionOf(IdempotencyKey key);

    /**
     * Returns the member that should own a partition; empty if there are no members.
     *
     * @param partition the partition
     */
    Optional<MemberId> ownerOf(PartitionId partition);

    /**
     * Returns the partitions that a member should own.
     *
     * @param member the member
     */
    Set<PartitionId> ownedBy(MemberId member);
}
