package org.oleanderspring.coordination.lease.command;

import java.util.List;
import org.jspecify.annotations.Nullable;
import org.oleanderspring.coordination.lease.LeaseCandidacy;
import org.oleanderspring.coordination.lease.LeaseName;
import org.oleanderspring.coordination.store.Revision;
import org.oleanderspring.coordination.store.StoreOperationId;
import org.oleanderspring.coordination.store.command.StoreLeaseResult;
import org.oleanderspring.coordination.store.command.WriteResult;
import org.oleanderspring.coordination.store.query.ReadResult;

/** Something that the leases of a daemon have to react to. */
public sealed interface LeaseEvent {
    /**
     * The leases to compete for changed. A held lease that is missing from the list is released.
     *
     * @param candidacies all leases to compete for
     */
    record CandidaciesChanged(List<LeaseCandidacy> candidacies) implements LeaseEvent {
        /** Copies the list. */
        public CandidaciesChanged {
            candidacies = List.copyOf(candidacies);
        }
    }

    /**
     * A grant, renewal or revocation was replied to.
     *
     * @param operation the operation
     * @param result its result
     */
    record ServiceLeaseReplied(StoreOperationId operation, StoreLeaseResult result)
            implements LeaseEvent {}

    /**
     * A write of a lease's key was replied to.
     *
     * @param operation the operation
     * @param result its result
     */
    record KeyWriteReplied(StoreOperationId operation, WriteResult result) implements LeaseEvent {}

    /**
     * A read of a lease's key was replied to.
     *
     * @param operation the operation
     * @param result its result
     */
    record KeyReadReplied(StoreOperationId operation, ReadResult result) implements LeaseEvent {}

    /**
     * The key of a lease was seen to vanish or to be given up, so there is no need to wait for the
     * next poll.
     *
     * @param name the lease
     * @param revision where the key may be written: {@link Revision#ABSENT} if it vanished
     * @param handover what the holder told when it gave the lease up, or null
     */
    record KeyFreed(LeaseName name, Revision revision, @Nullable String handover)
            implements LeaseEvent {}

    /**
     * Give a lease up and compete for it no more.
     *
     * @param name the lease
     * @param handover what the next holder is told; null to tell nothing
     */
    record HandoverRequested(LeaseName name, @Nullable String handover) implements LeaseEvent {}

    /** The daemon stops; all leases are handed over. */
    record StopRequested() implements LeaseEvent {}

    /** Time has passed. */
    record TimerFired() implements LeaseEvent {}
}
