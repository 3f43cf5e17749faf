package org.oleanderspring.core.residency.command;

import java.time.Duration;
import java.time.Instant;
import java.util.Set;
import org.oleanderspring.coordination.membership.MemberId;
import org.oleanderspring.core.fleet.EndpointId;
import org.oleanderspring.core.residency.Residency;
import org.oleanderspring.core.residency.ResidencyOrder;
import org.oleanderspring.core.residency.UnservedCause;
import org.oleanderspring.core.routing.Target;

/** An action that the residency decider requests and the daemon executes. */
public sealed interface ResidencyDecision {
    /**
     * Send an order to a runner. The reply arrives as {@link ResidencyEvent.OrderReplied}.
     *
     * @param order the order
     * @param reason the reason, for the log
     */
    record SendOrder(ResidencyOrder order, String reason) implements ResidencyDecision {}

    /**
     * Read the state of a runner. The result arrives as {@link ResidencyEvent.StateRead} or {@link
     * ResidencyEvent.StateReadFailed}.
     *
     * @param runner the runner
     */
    record ReadState(EndpointId runner) implements ResidencyDecision {}

    /**
     * Publish the models of a runner to daemons.
     *
     * @param residency the statement to publish
     * @param daemons the receiving daemons; all daemons if empty
     */
    record PublishResidency(Residency residency, Set<MemberId> daemons)
            implements ResidencyDecision {
        /** Makes an immutable copy of the set. */
        public PublishResidency {
            daemons = Set.copyOf(daemons);
        }
    }

    /**
     * Report to daemons how long calls for a model or adapter have to wait.
     *
     * @param target the model or adapter
     * @param readyAfter the estimated time until a runner holds it
     * @param daemons the daemons at which calls wait
     */
    record ReportReadiness(
            Target.ServiceModelTarget target, Duration readyAfter, Set<MemberId> daemons)
            implements ResidencyDecision {
        /** Makes an immutable copy of the set. */
        public ReportReadiness {
            daemons = Set.copyOf(daemons);
        }
    }

    /**
     * Report a model or adapter that calls ask for while no runner holds it.
     *
     * @param target the model or adapter
     * @param unservedFor the time since the first of these calls
     * @param waiting the number of waiting calls
     * @param cause why no runner holds it
     */
    record ReportUnserved(
            Target.ServiceModelTarget target,
            Duration unservedFor,
            int waiting,
            UnservedCause cause)
            implements ResidencyDecision {}

    /**
     * Fire the timer at a given time, in addition to its periodic times.
     *
     * @param at the time
     */
    record ScheduleTimer(Instant at) implements ResidencyDecision {}
}
