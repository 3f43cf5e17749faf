package org.oleanderspring.daemon.placement.command;

import java.time.Instant;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.jspecify.annotations.Nullable;
import org.oleanderspring.coordination.lease.FencingToken;
import org.oleanderspring.coordination.membership.Address;
import org.oleanderspring.coordination.membership.MemberId;
import org.oleanderspring.coordination.membership.MemberList;
import org.oleanderspring.coordination.store.Revision;
import org.oleanderspring.core.fleet.CellName;
import org.oleanderspring.core.fleet.Checkpoint;
import org.oleanderspring.core.fleet.ModelName;
import org.oleanderspring.core.fleet.RunnerReport;
import org.oleanderspring.core.fleet.VmList;
import org.oleanderspring.core.placement.ModelUse;
import org.oleanderspring.core.placement.Plan;
import org.oleanderspring.core.placement.command.PlacementEvent;
import org.oleanderspring.core.settings.FleetSettings;

/** The events in the ring of the placement duty. */
public sealed interface PlacementInput {
    /**
     * An event that is passed to the decider of one cell.
     *
     * @param cell the cell
     * @param event the event
     */
    record Event(CellName cell, PlacementEvent event) implements PlacementInput {}

    /** A periodic timer tick. */
    record Tick() implements PlacementInput {}

    /**
     * This daemon acquired the lease of a cell.
     *
     * @param cell the cell
     */
    record LeaseAcquired(CellName cell) implements PlacementInput {}

    /**
     * This daemon no longer holds the lease of a cell.
     *
     * @param cell the cell
     */
    record LeaseLost(CellName cell) implements PlacementInput {}

    /**
     * The plan of a cell was read from the key-value service, so that this daemon can start a term.
     *
     * @param cell the cell
     * @param plan the plan, or null if the key-value service has none
     * @param revision the revision of the plan's key
     */
    record PlanRead(CellName cell, @Nullable Plan plan, Revision revision)
            implements PlacementInput {}

    /**
     * The plan of a cell could not be read or decoded.
     *
     * @param cell the cell
     * @param reason the cause, for the log
     */
    record PlanUnreadable(CellName cell, String reason) implements PlacementInput {}

    /**
     * A plan came into force.
     *
     * @param plan the plan
     */
    record PlanChanged(Plan plan) implements PlacementInput {}

    /**
     * Calls accepted by this daemon wait for a model.
     *
     * @param model the model or adapter
     * @param earliestDeadline the earliest deadline of these calls
     * @param waiting the number of waiting calls
     */
    record LocalActivationRequested(ModelName model, Instant earliestDeadline, int waiting)
            implements PlacementInput {}

    /**
     * Calls accepted by another daemon wait for a model.
     *
     * @param cell the cell that the other daemon chose for the model
     * @param daemon the identity of the other daemon
     * @param model the model or adapter
     * @param earliestDeadline the earliest deadline of these calls
     * @param waiting the number of waiting calls
     */
    record RemoteActivationRequested(
            CellName cell, MemberId daemon, ModelName model, Instant earliestDeadline, int waiting)
            implements PlacementInput {}

    /**
     * The use of models by calls of this daemon since the last report; empty if there was none.
     *
     * @param uses the models and the extent of their use
     */
    record LocalUseReported(List<ModelUse> uses) implements PlacementInput {
        /** Copies the list. */
        public LocalUseReported {
            uses = List.copyOf(uses);
        }
    }

    /**
     * A daemon announced that it starts a new term of a cell.
     *
     * @param from the peer address of that daemon
     * @param cell the cell
     * @param term the new term
     */
    record TermAnnounced(Address from, CellName cell, FencingToken term)
            implements PlacementInput {}

    /**
     * A daemon acknowledged a term that this daemon announced.
     *
     * @param from the peer address of that daemon
     * @param cell the cell
     * @param term the term
     */
    record TermAcknowledged(Address from, CellName cell, FencingToken term)
            implements PlacementInput {}

    /**
     * The member list changed.
     *
     * @param members the new list
     */
    record MembersListed(MemberList members) implements PlacementInput {}

    /**
     * The VM list was read.
     *
     * @param vms the list
     */
    record VmsListed(VmList vms) implements PlacementInput {}

    /**
     * The catalogue of the weight store was read.
     *
     * @param checkpoints all models and adapters
     */
    record CatalogueListed(List<Checkpoint> checkpoints) implements PlacementInput {
        /** Copies the list. */
        public CatalogueListed {
            checkpoints = List.copyOf(checkpoints);
        }
    }

    /**
     * A runner reported its state.
     *
     * @param report the report
     */
    record RunnerReported(RunnerReport report) implements PlacementInput {}

    /**
     * The operators' settings changed.
     *
     * @param settings the current settings
     */
    record SettingsChanged(FleetSettings settings) implements PlacementInput {}

    /**
     * The time until which this daemon may decide by its documents changed.
     *
     * @param until the end, on this daemon's clock; {@link Instant#MIN} if it may not decide
     */
    record AuthorityChanged(Instant until) implements PlacementInput {}

    /**
     * A query for the current plans.
     *
     * @param reply completed on the placement thread
     */
    record PlansRequested(CompletableFuture<List<Plan>> reply) implements PlacementInput {}
}
