package org.oleanderspring.core.placement.command;

import java.util.Set;
import org.oleanderspring.coordination.lease.FencingToken;
import org.oleanderspring.coordination.membership.MemberId;
import org.oleanderspring.coordination.store.Revision;
import org.oleanderspring.core.fleet.CellName;
import org.oleanderspring.core.fleet.Endpoint;
import org.oleanderspring.core.fleet.ModelName;
import org.oleanderspring.core.placement.Plan;
import org.oleanderspring.core.placement.Readiness;
import org.oleanderspring.core.placement.RunnerOrder;

/** An action that the placement decider requests and the daemon executes. */
public sealed interface PlacementDecision {
    /**
     * Write the plan by compare-and-swap. The result arrives as {@link PlacementEvent.PlanWritten}
     * or {@link PlacementEvent.PlanWriteFailed}. If the outcome of a write is unknown, the same
     * plan may be requested again with the same write identifier and the same expected revision, so
     * at most one of the writes takes effect.
     *
     * @param plan the plan
     * @param expected the revision that the key must have
     */
    record WritePlan(Plan plan, Revision expected) implements PlacementDecision {}

    /**
     * Send an order to a runner. The result arrives as {@link PlacementEvent.OrderAnswered}. The
     * slot of the order is in the written plan.
     *
     * @param runner the runner
     * @param order the order
     * @param reason the reason, for the log
     */
    record SendOrder(Endpoint runner, RunnerOrder order, String reason)
            implements PlacementDecision {}

    /**
     * Announce a new term to the members. Each member acknowledges it once it can no longer send an
     * order of an earlier term. The announcement is repeated until no acknowledgement is awaited.
     *
     * @param cell the cell
     * @param term the new term
     * @param awaitedMembers the members whose acknowledgement is needed to settle a slot; empty if
     *     the announcement is only informative
     */
    record AnnounceTerm(CellName cell, FencingToken term, Set<MemberId> awaitedMembers)
            implements PlacementDecision {
        /** Makes an immutable copy of the set. */
        public AnnounceTerm {
            awaitedMembers = Set.copyOf(awaitedMembers);
        }
    }

    /**
     * Report to the routers when a model becomes ready for the calls that wait for it.
     *
     * @param model the model or adapter
     * @param readiness the estimate
     */
    record ReportReadiness(ModelName model, Readiness readiness) implements PlacementDecision {}
}
