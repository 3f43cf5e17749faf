package org.oleanderspring.core.placement.command;

import java.time.Instant;
import java.util.List;
import org.jspecify.annotations.Nullable;
import org.oleanderspring.coordination.lease.FencingToken;
import org.oleanderspring.coordination.membership.MemberId;
import org.oleanderspring.coordination.store.Revision;
import org.oleanderspring.core.fleet.Checkpoint;
import org.oleanderspring.core.fleet.ModelName;
import org.oleanderspring.core.fleet.RunnerReport;
import org.oleanderspring.core.fleet.VmList;
import org.oleanderspring.core.placement.ModelUse;
import org.oleanderspring.core.placement.OrderId;
import org.oleanderspring.core.placement.OrderResult;
import org.oleanderspring.core.placement.PlacementLimits;
import org.oleanderspring.core.placement.Plan;
import org.oleanderspring.core.placement.PlanWriteFailure;
import org.oleanderspring.core.placement.PlanWriteId;

/** An input event of the placement decider. */
public sealed interface PlacementEvent {
    /**
     * Calls wait at a daemon for a model that has no ready replica.
     *
     * @param daemon the daemon at which the calls wait
     * @param model the model or adapter
     * @param earliestDeadline the earliest deadline among the waiting calls
     * @param waiting the number of waiting calls
     */
    record ActivationRequested(
            MemberId daemon, ModelName model, Instant earliestDeadline, int waiting)
            implements PlacementEvent {}

    /**
     * A daemon reported its calls per model. Models that are not listed have no calls at that
     * daemon.
     *
     * @param daemon the daemon
     * @param uses the models with calls in flight, queued or newly arrived
     */
    record UseReported(MemberId daemon, List<ModelUse> uses) implements PlacementEvent {
        /** Makes an immutable copy of the list. */
        public UseReported {
            uses = List.copyOf(uses);
        }
    }

    /**
     * This daemon acquired the lease of the cell and read the plan.
     *
     * @param plan the plan with the highest version number known to the daemon, or null if there is
     *     none
     * @param revision the revision of the plan's key
     */
    record TermStarted(@Nullable Plan plan, Revision revision) implements PlacementEvent {}

    /**
     * This daemon lost or released the lease, or learned of a higher term. It decides nothing for
     * the cell until the next {@link TermStarted}.
     */
    record TermEnded() implements PlacementEvent {}

    /**
     * A plan was written.
     *
     * @param writeId the identifier of the write
     * @param revision the new revision of the plan's key
     */
    record PlanWritten(PlanWriteId writeId, Revision revision) implements PlacementEvent {}

    /**
     * A plan was not written, or the outcome of the write is unknown.
     *
     * @param writeId the identifier of the write
     * @param failure the kind of failure
     */
    record PlanWriteFailed(PlanWriteId writeId, PlanWriteFailure failure)
            implements PlacementEvent {}

    /**
     * The exchange of an order with the runner ended, and nothing more is sent for the order.
     *
     * @param order the order
     * @param result the result
     */
    record OrderAnswered(OrderId order, OrderResult result) implements PlacementEvent {}

    /**
     * A runner reported its state.
     *
     * @param report the report; {@code madeAt} is a time of this daemon's clock
     */
    record RunnerReported(RunnerReport report) implements PlacementEvent {}

    /**
     * The VM list was read.
     *
     * @param list the list
     */
    record VmsListed(VmList list) implements PlacementEvent {}

    /**
     * The catalogue of the weight store was read.
     *
     * @param checkpoints all checkpoints
     */
    record CatalogueListed(List<Checkpoint> checkpoints) implements PlacementEvent {
        /** Makes an immutable copy of the list. */
        public CatalogueListed {
            checkpoints = List.copyOf(checkpoints);
        }
    }

    /**
     * The operators changed the settings.
     *
     * @param limits the new limits
     */
    record LimitsChanged(PlacementLimits limits) implements PlacementEvent {}

    /**
     * The authority to decide based on the current settings was gained or has expired.
     *
     * @param mayDecide whether the daemon may send new orders
     */
    record AuthorityChanged(boolean mayDecide) implements PlacementEvent {}

    /**
     * A daemon confirmed that it will not send any order of an earlier term of this cell: each such
     * order was dropped, or its exchange with the runner has ended. A daemon that uses the
     * listening address of an earlier process also acknowledges on behalf of that process.
     *
     * @param member the daemon
     * @param term the acknowledged term
     */
    record TermAcknowledged(MemberId member, FencingToken term) implements PlacementEvent {}

    /** The periodic timer fired. */
    record TimerFired() implements PlacementEvent {}
}
