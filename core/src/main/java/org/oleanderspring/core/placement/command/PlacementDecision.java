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

/** What placement decided; the daemon carries it out. */
public sealed interface PlacementDecision {
    /**
     * Write the plan by compare-and-swap; answered by {@link PlacementEvent.PlanWritten} or {@link
     * PlacementEvent.PlanWriteFailed}. The same plan may be asked for again after its fate was
     * unknown; it then has the same mark and the same expected revision, so at most one of the
     * writes takes effect.
     *
     * @param plan the plan
     * @param expected the revision that the key must have
     */
    record WritePlan(Plan plan, Revision expected) implements PlacementDecision {}

    /**
     * Send an order to a runner; answered by {@link PlacementEvent.OrderAnswered}. The slot is in
     * the written plan.
     *
     * @param runner the runner
     * @param order the order
     * @param reason why, for the log
     */
    record SendOrder(Endpoint runner, RunnerOrder order, String reason)
            implements PlacementDecision {}

    /**
     * Tell the members of a new term; each answers with an acknowledgement once it sends no order
     * of an earlier term. Repeated until nobody is awaited.
     *
     * @param cell the cell
     * @param term the new term
     * @param awaited the members whose acknowledgement settles a slot; empty for an announcement
     *     for information only
     */
    record AnnounceTerm(CellName cell, FencingToken term, Set<MemberId> awaited)
            implements PlacementDecision {
        /** Copies the set. */
        public AnnounceTerm {
            awaited = Set.copyOf(awaited);
        }
    }

    /**
     * Tell the routers when a woken model becomes ready.
     *
     * @param model the model or adapter
     * @param readiness the estimate
     */
    record ReportReadiness(ModelName model, Readiness readiness) implements PlacementDecision {}
}
