package org.oleanderspring.coordination.lease.command;

import java.util.List;
import org.jspecify.annotations.Nullable;
import org.oleanderspring.coordination.lease.LeaseCandidacy;
import org.oleanderspring.coordination.lease.LeaseName;
import org.oleanderspring.coordination.lease.LeaseValue;
import org.oleanderspring.coordination.store.Revision;
import org.oleanderspring.coordination.store.StoreEra;
import org.oleanderspring.coordination.store.StoreOperationId;
import org.oleanderspring.coordination.store.command.StoreLeaseResult;
import org.oleanderspring.coordination.store.command.WriteResult;
import org.oleanderspring.coordination.store.query.ReadResult;

/** An input of {@link LeaseDecider}. */
public sealed interface LeaseEvent {
    /**
     * The set of leases to compete for changed. A held lease that is missing from the list is
     * released.
     *
     * @param candidacies all leases to compete for
     */
    record CandidaciesChanged(List<LeaseCandidacy> candidacies) implements LeaseEvent {
        /** Copies the list; null elements are rejected. */
        public CandidaciesChanged {
            candidacies = List.copyOf(candidacies);
        }
    }

    /**
     * The reply to a grant, renewal or revocation of the service lease arrived.
     *
     * @param operation the operation
     * @param result its result
     */
    record ServiceLeaseReplied(StoreOperationId operation, StoreLeaseResult result)
            implements LeaseEvent {}

    /**
     * The reply to a write of a lease's key arrived.
     *
     * @param operation the operation
     * @param result its result
     */
    record KeyWriteReplied(StoreOperationId operation, WriteResult result) implements LeaseEvent {}

    /**
     * The reply to a read of a lease's key arrived.
     *
     * @param operation the operation
     * @param result its result
     */
    record KeyReadReplied(StoreOperationId operation, ReadResult result) implements LeaseEvent {}

    /**
     * The key of a lease was observed to be removed or released, so the lease can be acquired
     * before the next poll.
     *
     * @param name the lease
     * @param revision the revision to expect when writing the key: {@link Revision#ABSENT} if it
     *     was removed
     * @param handover the handover data of the previous holder, or null
     */
    record KeyReleased(LeaseName name, Revision revision, @Nullable String handover)
            implements LeaseEvent {}

    /**
     * The key of a lease was observed with the value of a holder.
     *
     * @param name the lease
     * @param value the value
     * @param revision its revision
     */
    record KeyObserved(LeaseName name, LeaseValue value, Revision revision) implements LeaseEvent {}

    /**
     * An answer of the key-value service to another part of the daemon named its era.
     *
     * @param era the era
     */
    record EraObserved(StoreEra era) implements LeaseEvent {}

    /**
     * Requests that a lease is released and no longer competed for.
     *
     * @param name the lease
     * @param handover data to pass to the next holder, or null
     */
    record HandoverRequested(LeaseName name, @Nullable String handover) implements LeaseEvent {}

    /** The daemon is stopping; all leases are released. */
    record StopRequested() implements LeaseEvent {}

    /** Periodic timer tick; time-outs and retries are checked on every tick. */
    record TimerFired() implements LeaseEvent {}
}
