package org.oleanderspring.coordination.dispatch.command;

import org.oleanderspring.coordination.dispatch.ClaimId;
import org.oleanderspring.coordination.dispatch.PartitionId;
import org.oleanderspring.coordination.dispatch.PartitionPhase;
import org.oleanderspring.coordination.store.StoreKey;
import org.oleanderspring.coordination.store.StoreOperationId;
import org.oleanderspring.coordination.store.command.CompareAndSwap;

/** An action or notification of {@link DispatchDecider}; the daemon executes it. */
public sealed interface DispatchDecision {
    /**
     * Write a value to the key-value service.
     *
     * @param operation identifies the operation in its reply
     * @param command the write
     */
    record WriteValue(StoreOperationId operation, CompareAndSwap command)
            implements DispatchDecision {}

    /**
     * Read a value from the key-value service.
     *
     * @param operation identifies the operation in its reply
     * @param key the key
     */
    record ReadValue(StoreOperationId operation, StoreKey key) implements DispatchDecision {}

    /**
     * A claim is settled. Each request is settled exactly once, except that a repeated request that
     * arrives while the claim still waits is ignored. The first result that reaches the claim's
     * origin is final; the origin ignores later results and treats a missing one as {@link
     * ClaimResult.Unavailable}.
     *
     * @param claim the claim
     * @param result whether its call may be started
     */
    record ClaimSettled(ClaimId claim, ClaimResult result) implements DispatchDecision {}

    /**
     * A partition entered another phase; for log messages and metrics.
     *
     * @param partition the partition
     * @param phase the new phase
     * @param reason the cause
     */
    record PhaseChanged(PartitionId partition, PartitionPhase phase, String reason)
            implements DispatchDecision {}
}
