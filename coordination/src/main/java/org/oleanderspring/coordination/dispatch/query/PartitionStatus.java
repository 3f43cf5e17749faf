package org.oleanderspring.coordination.dispatch.query;

import java.util.Objects;
import org.oleanderspring.coordination.dispatch.PartitionId;
import org.oleanderspring.coordination.dispatch.PartitionPhase;
import org.oleanderspring.coordination.lease.FencingToken;

/**
 * The state of one partition as seen by a daemon that should own it.
 *
 * @param partition the partition
 * @param phase the phase of the partition at the daemon
 * @param term the last known owner term
 * @param records the number of records in memory
 * @param sealedSegments the number of sealed segments that the active value lists
 * @param waitingClaims the number of waiting claims
 */
public record PartitionStatus(
        PartitionId partition,
        PartitionPhase phase,
        FencingToken term,
        int records,
        int sealedSegments,
        int waitingClaims) {
    /** Rejects a null partition, phase or term. */
    public PartitionStatus {
        Objects.requireNonNull(partition, "partition");
        Objects.requireNonNull(phase, "phase");
        Objects.requireNonNull(term, "term");
    }
}
