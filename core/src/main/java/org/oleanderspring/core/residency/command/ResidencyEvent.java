package org.oleanderspring.core.residency.command;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Map;
import org.oleanderspring.coordination.lease.FencingToken;
import org.oleanderspring.coordination.membership.MemberId;
import org.oleanderspring.core.fleet.EndpointId;
import org.oleanderspring.core.fleet.ServiceName;
import org.oleanderspring.core.residency.ModelDemand;
import org.oleanderspring.core.residency.ResidencyOrderReply;
import org.oleanderspring.core.route.FleetConfiguration;
import org.oleanderspring.core.routing.Target;
import org.oleanderspring.core.runner.RunnerRegistration;
import org.oleanderspring.core.runner.RunnerState;

/** Something that the placement of models has to react to. */
public sealed interface ResidencyEvent {
    /**
     * The operators' configuration changed.
     *
     * @param configuration the configuration in force
     */
    record ConfigurationChanged(FleetConfiguration configuration) implements ResidencyEvent {}

    /**
     * The registered runners changed.
     *
     * @param runners all runners
     */
    record RunnersListed(List<RunnerRegistration> runners) implements ResidencyEvent {
        /** Copies the list. */
        public RunnersListed {
            runners = List.copyOf(runners);
        }
    }

    /**
     * A daemon reported the use of a service's models.
     *
     * @param daemon the daemon
     * @param service the service
     * @param demands the models in use; all others are not in use at that daemon
     */
    record DemandReported(MemberId daemon, ServiceName service, List<ModelDemand> demands)
            implements ResidencyEvent {
        /** Copies the list. */
        public DemandReported {
            demands = List.copyOf(demands);
        }
    }

    /**
     * Calls wait at a daemon for a model or adapter that no runner holds.
     *
     * @param daemon the daemon
     * @param target the model or adapter
     * @param waiting how many calls wait
     * @param untilDeadline how long the first of them waits at most
     */
    record LoadRequested(
            MemberId daemon, Target.ServiceModelTarget target, int waiting, Duration untilDeadline)
            implements ResidencyEvent {}

    /**
     * This daemon is the one that gives orders.
     *
     * @param token the fencing token of its orders
     * @param ordersFrom no order may be sent before, because the holder before may still send
     * @param laterRunners runners to which no order may be sent until a later time, because the
     *     holder before has just ordered them
     */
    record TenureBegan(
            FencingToken token, Instant ordersFrom, Map<EndpointId, Instant> laterRunners)
            implements ResidencyEvent {
        /** Copies the map. */
        public TenureBegan {
            laterRunners = Map.copyOf(laterRunners);
        }
    }

    /** This daemon may give no more orders. */
    record TenureEnded() implements ResidencyEvent {}

    /**
     * A runner told its state.
     *
     * @param runner the runner
     * @param state its state
     */
    record StateRead(EndpointId runner, RunnerState state) implements ResidencyEvent {}

    /**
     * A runner did not tell its state.
     *
     * @param runner the runner
     * @param reason why, for the log
     */
    record StateReadFailed(EndpointId runner, String reason) implements ResidencyEvent {}

    /**
     * An order was replied to.
     *
     * @param runner the runner
     * @param order the number of the order
     * @param reply the reply
     */
    record OrderReplied(EndpointId runner, long order, ResidencyOrderReply reply)
            implements ResidencyEvent {}

    /** Time has passed. */
    record TimerFired() implements ResidencyEvent {}
}
