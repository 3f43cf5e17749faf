package org.oleanderspring.coordination.dispatch.query;

import java.util.Objects;
import org.oleanderspring.coordination.dispatch.PartitionId;
import org.oleanderspring.coordination.dispatch.PartitionPhase;
import org.oleanderspring.coordination.lease.FencingToken;

/**
 * The state of one partition as a daemon that should own it sees it.
 *
 * @param partition the partition
 * @param phase what the daemon does with it
 * @param term the owner term last seen
 * @param records how many records are in memory
 * @param sealedSegments how many sealed segments the active value lists
 * @param waitingClaims how many claims wait
 */
public record PartitionStatus(
        PartitionId partition,
        PartitionPhase phase,
        FencingToken term,
        int records,
        int sealedSegments,
        int waitingClaims) {
    /** Checks for missing parts. */
    public PartitionStatus {
        Objects.requireNonNull(partition, "partition");
        Objects.requireNonNull(phase, "phase");
        Objects.requireNonNull(term, "term");
    }
}
