package org.oleanderspring.core.residency.command;

import java.time.Duration;
import java.time.Instant;
import java.util.Set;
import org.oleanderspring.coordination.membership.MemberId;
import org.oleanderspring.core.fleet.EndpointId;
import org.oleanderspring.core.residency.Residency;
import org.oleanderspring.core.residency.ResidencyOrder;
import org.oleanderspring.core.routing.Target;

/** What the placement of models decided; the daemon carries it out. */
public sealed interface ResidencyDecision {
    /**
     * Send an order to a runner.
     *
     * @param order the order
     * @param reason why, for the log
     */
    record SendOrder(ResidencyOrder order, String reason) implements ResidencyDecision {}

    /**
     * Ask a runner for its state.
     *
     * @param runner the runner
     */
    record ReadState(EndpointId runner) implements ResidencyDecision {}

    /**
     * Tell daemons what a runner holds.
     *
     * @param residency what it holds
     * @param daemons the daemons to tell; all if empty
     */
    record PublishResidency(Residency residency, Set<MemberId> daemons)
            implements ResidencyDecision {
        /** Copies the set. */
        public PublishResidency {
            daemons = Set.copyOf(daemons);
        }
    }

    /**
     * Tell daemons how long calls for a model or adapter have to wait.
     *
     * @param target the model or adapter
     * @param readyAfter how long it takes until a runner holds it
     * @param daemons the daemons at which calls wait
     */
    record ReportReadiness(
            Target.ServiceModelTarget target, Duration readyAfter, Set<MemberId> daemons)
            implements ResidencyDecision {
        /** Copies the set. */
        public ReportReadiness {
            daemons = Set.copyOf(daemons);
        }
    }

    /**
     * Fire the timer at a certain time, besides its regular times.
     *
     * @param at when
     */
    record ScheduleTimer(Instant at) implements ResidencyDecision {}
}
