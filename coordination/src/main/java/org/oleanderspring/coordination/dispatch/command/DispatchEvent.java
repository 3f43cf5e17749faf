package org.oleanderspring.coordination.dispatch.command;

import java.time.Instant;
import java.util.Objects;
import java.util.Set;
import org.oleanderspring.coordination.dispatch.ClaimId;
import org.oleanderspring.coordination.dispatch.DispatchSettings;
import org.oleanderspring.coordination.dispatch.IdempotencyKey;
import org.oleanderspring.coordination.dispatch.PartitionId;
import org.oleanderspring.coordination.dispatch.RecordState;
import org.oleanderspring.coordination.store.StoreOperationId;
import org.oleanderspring.coordination.store.command.WriteResult;
import org.oleanderspring.coordination.store.query.ReadResult;

/** Something that the dispatch records of a daemon have to react to. */
public sealed interface DispatchEvent {
    /**
     * This daemon or a peer asks for a record before it starts a call.
     *
     * @param claim the identity of the request
     * @param key the call's idempotency key
     * @param deadline when the claim is settled at the latest
     */
    record ClaimRequested(ClaimId claim, IdempotencyKey key, Instant deadline)
            implements DispatchEvent {
        /** Checks for missing parts. */
        public ClaimRequested {
            Objects.requireNonNull(claim, "claim");
            Objects.requireNonNull(key, "key");
            Objects.requireNonNull(deadline, "deadline");
        }
    }

    /**
     * A call that had its record came to an end.
     *
     * @param key the call's idempotency key
     * @param state how it ended; not {@link RecordState#DISPATCHED}
     */
    record OutcomeReported(IdempotencyKey key, RecordState state) implements DispatchEvent {
        /** Checks that the state is an end. */
        public OutcomeReported {
            Objects.requireNonNull(key, "key");
            if (state == RecordState.DISPATCHED) {
                throw new IllegalArgumentException("an outcome is RAN or NOT_RUN");
            }
        }
    }

    /**
     * A write was replied to.
     *
     * @param operation the operation
     * @param result its result
     */
    record WriteReplied(StoreOperationId operation, WriteResult result) implements DispatchEvent {}

    /**
     * A read was replied to.
     *
     * @param operation the operation
     * @param result its result
     */
    record ReadReplied(StoreOperationId operation, ReadResult result) implements DispatchEvent {}

    /**
     * The partitions that this daemon should own changed. This is a hint; the owner term decides.
     *
     * @param partitions all partitions that this daemon should own
     */
    record OwnershipChanged(Set<PartitionId> partitions) implements DispatchEvent {
        /** Copies the set. */
        public OwnershipChanged {
            partitions = Set.copyOf(partitions);
        }
    }

    /**
     * The operators' settings changed.
     *
     * @param settings the new settings
     */
    record SettingsChanged(DispatchSettings settings) implements DispatchEvent {}

    /** Time has passed. */
    record TimerFired() implements DispatchEvent {}
}
