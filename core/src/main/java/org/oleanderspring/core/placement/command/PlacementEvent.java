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

/** Something that placement has to react to. */
public sealed interface PlacementEvent {
    /**
     * Calls wait at a daemon for a model without a ready replica.
     *
     * @param daemon the daemon at which they wait
     * @param model the model or adapter
     * @param earliestDeadline the earliest deadline among the waiting calls
     * @param waiting how many calls wait
     */
    record ActivationRequested(
            MemberId daemon, ModelName model, Instant earliestDeadline, int waiting)
            implements PlacementEvent {}

    /**
     * A daemon reported the use of models; a model that is not listed is not used there.
     *
     * @param daemon the daemon
     * @param uses the models with calls in flight, queued or newly arrived
     */
    record UseReported(MemberId daemon, List<ModelUse> uses) implements PlacementEvent {
        /** Copies the list. */
        public UseReported {
            uses = List.copyOf(uses);
        }
    }

    /**
     * This daemon got the lease of the cell and read the plan.
     *
     * @param plan the plan with the highest number that the daemon knows, or null if there is none
     * @param revision the revision of the plan's key
     */
    record TermStarted(@Nullable Plan plan, Revision revision) implements PlacementEvent {}

    /**
     * This daemon lost or gave up the lease, or heard of a higher term. Nothing of the cell is
     * decided until the next {@link TermStarted}.
     */
    record TermEnded() implements PlacementEvent {}

    /**
     * A plan was written.
     *
     * @param mark the mark of the plan
     * @param revision the new revision of the plan's key
     */
    record PlanWritten(PlanWriteId mark, Revision revision) implements PlacementEvent {}

    /**
     * A plan was not written, or its fate is unknown.
     *
     * @param mark the mark of the plan
     * @param failure what is known
     */
    record PlanWriteFailed(PlanWriteId mark, PlanWriteFailure failure) implements PlacementEvent {}

    /**
     * The exchange of an order with the runner ended; nothing more of it is sent.
     *
     * @param order the order
     * @param result the answer
     */
    record OrderAnswered(OrderId order, OrderResult result) implements PlacementEvent {}

    /**
     * A runner reported.
     *
     * @param report the report; {@code madeAt} is on this daemon's clock
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
        /** Copies the list. */
        public CatalogueListed {
            checkpoints = List.copyOf(checkpoints);
        }
    }

    /**
     * The operators' settings changed.
     *
     * @param limits the new limits
     */
    record LimitsChanged(PlacementLimits limits) implements PlacementEvent {}

    /**
     * The daemon gained or lost the right to decide by its settings.
     *
     * @param mayDecide whether it may start orders
     */
    record AuthorityChanged(boolean mayDecide) implements PlacementEvent {}

    /**
     * A daemon will send no order of an earlier term of this cell any more: each such order was
     * dropped, or its exchange with the runner has ended. A daemon that runs at the listening
     * address of an earlier run acknowledges for the earlier run as well.
     *
     * @param member the daemon
     * @param term the term that it acknowledges
     */
    record TermAcknowledged(MemberId member, FencingToken term) implements PlacementEvent {}

    /** Time has passed. */
    record TimerFired() implements PlacementEvent {}
}
