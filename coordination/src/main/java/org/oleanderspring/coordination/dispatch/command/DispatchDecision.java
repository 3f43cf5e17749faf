package org.oleanderspring.coordination.dispatch.command;

import org.oleanderspring.coordination.dispatch.ClaimId;
import org.oleanderspring.coordination.dispatch.PartitionId;
import org.oleanderspring.coordination.dispatch.PartitionPhase;
import org.oleanderspring.coordination.store.StoreKey;
import org.oleanderspring.coordination.store.StoreOperationId;
import org.oleanderspring.coordination.store.command.CompareAndSwap;

/** What was decided about dispatch records; the daemon carries it out. */
public sealed interface DispatchDecision {
    /**
     * Write a value of the key-value service.
     *
     * @param operation connects the reply
     * @param command the write
     */
    record WriteValue(StoreOperationId operation, CompareAndSwap command)
            implements DispatchDecision {}

    /**
     * Read a value of the key-value service.
     *
     * @param operation connects the reply
     * @param key the key
     */
    record ReadValue(StoreOperationId operation, StoreKey key) implements DispatchDecision {}

    /**
     * A claim is settled; each request is settled exactly once, but for a repetition that arrives
     * while the claim still waits. The first result that reaches the claim's origin is final; the
     * origin ignores later ones, and treats a missing one as {@link ClaimResult.Unavailable}.
     *
     * @param claim the claim
     * @param result whether its call may be started
     */
    record ClaimSettled(ClaimId claim, ClaimResult result) implements DispatchDecision {}

    /**
     * A partition entered another phase; for the log and metrics.
     *
     * @param partition the partition
     * @param phase the new phase
     * @param reason why
     */
    record PhaseChanged(PartitionId partition, PartitionPhase phase, String reason)
            implements DispatchDecision {}
}
