package org.oleanderspring.coordination.dispatch.query;

import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import org.oleanderspring.coordination.dispatch.IdempotencyKey;
import org.oleanderspring.coordination.dispatch.KeyHash;
import org.oleanderspring.coordination.dispatch.PartitionId;
import org.oleanderspring.coordination.membership.MemberId;
import org.oleanderspring.coordination.membership.query.RendezvousRanking;

/**
 * Assigns partitions by rendezvous hashing: the member with the highest weight for a partition owns
 * it. When a member joins or leaves, only the partitions that it gains or loses are reassigned.
 */
public final class RendezvousPartitionMap implements PartitionMap {
    private static final String RANKING_PREFIX = "partition-";

    private final List<MemberId> mMembers;
    private final int mPartitionCount;

    /**
     * Creates a map for one set of members.
     *
     * @param members the members
     * @param partitionCount the number of partitions
     */
    public RendezvousPartitionMap(Collection<MemberId> members, int partitionCount) {
        if (partitionCount < 1) {
            throw new IllegalArgumentException(
                    "partition count is not positive: " + partitionCount);
        }
        mMembers = members.stream().distinct().sorted().toList();
        mPartitionCount = partitionCount;
    }

    @Override
    public PartitionId partitionOf(IdempotencyKey key) {
        return PartitionId.of(KeyHash.of(key), mPartitionCount);
    }

    @Override
    public Optional<MemberId> ownerOf(PartitionId partition) {
        return RendezvousRanking.first(
                RANKING_PREFIX + partition.value(), mMembers, MemberId::value);
    }

    @Override
    public Set<PartitionId> ownedBy(MemberId member) {
        Set<PartitionId> owned = new TreeSet<>();
        for (int number = 0; number < mPartitionCount; number++) {
            PartitionId partition = new PartitionId(number);
            if (ownerOf(partition).filter(member::equals).isPresent()) {
                owned.add(partition);
            }
        }
        return owned;
    }
}
