package org.oleanderspring.coordination.dispatch.command;

import java.time.Instant;
import java.util.Objects;
import java.util.Set;
import org.oleanderspring.coordination.dispatch.ActiveValue;
import org.oleanderspring.coordination.dispatch.ClaimId;
import org.oleanderspring.coordination.dispatch.DispatchSettings;
import org.oleanderspring.coordination.dispatch.IdempotencyKey;
import org.oleanderspring.coordination.dispatch.PartitionId;
import org.oleanderspring.coordination.dispatch.RecordState;
import org.oleanderspring.coordination.store.StoreOperationId;
import org.oleanderspring.coordination.store.command.WriteResult;
import org.oleanderspring.coordination.store.query.ReadResult;

/** An input of {@link DispatchDecider}. */
public sealed interface DispatchEvent {
    /**
     * This daemon or a peer requests a record before it starts a call.
     *
     * @param claim identifies the request
     * @param key the call's idempotency key
     * @param deadline the time at which a claim without a confirmed record is settled as {@link
     *     ClaimResult.Unavailable}
     */
    record ClaimRequested(ClaimId claim, IdempotencyKey key, Instant deadline)
            implements DispatchEvent {
        /** Rejects null components. */
        public ClaimRequested {
            Objects.requireNonNull(claim, "claim");
            Objects.requireNonNull(key, "key");
            Objects.requireNonNull(deadline, "deadline");
        }
    }

    /**
     * The outcome of a recorded call is known.
     *
     * @param key the call's idempotency key
     * @param state the outcome; not {@link RecordState#DISPATCHED}
     */
    record OutcomeReported(IdempotencyKey key, RecordState state) implements DispatchEvent {
        /** Rejects a null key, and {@link RecordState#DISPATCHED}, which is not an outcome. */
        public OutcomeReported {
            Objects.requireNonNull(key, "key");
            if (state == RecordState.DISPATCHED) {
                throw new IllegalArgumentException(
                        "an outcome must be RAN or NOT_RUN, not " + state);
            }
        }
    }

    /**
     * The reply to a write arrived.
     *
     * @param operation the operation
     * @param result its result
     */
    record WriteReplied(StoreOperationId operation, WriteResult result) implements DispatchEvent {}

    /**
     * The reply to a read arrived.
     *
     * @param operation the operation
     * @param result its result
     */
    record ReadReplied(StoreOperationId operation, ReadResult result) implements DispatchEvent {}

    /**
     * The set of partitions that this daemon should own changed. This is only a hint; the owner
     * term in the {@link ActiveValue} determines the actual owner.
     *
     * @param partitions all partitions that this daemon should own
     */
    record OwnershipChanged(Set<PartitionId> partitions) implements DispatchEvent {
        /** Copies the set; null elements are rejected. */
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

    /**
     * Periodic timer tick. Time-outs and delayed operations are checked on every event; the tick
     * makes sure that they are also checked when nothing else happens.
     */
    record TimerFired() implements DispatchEvent {}
}
