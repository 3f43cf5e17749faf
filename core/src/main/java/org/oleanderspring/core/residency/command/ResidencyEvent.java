package org.oleanderspring.core.residency.command;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Map;
import org.oleanderspring.coordination.lease.FencingToken;
import org.oleanderspring.coordination.membership.MemberId;
import org.oleanderspring.core.fleet.EndpointId;
import org.oleanderspring.core.fleet.EndpointStatement;
import org.oleanderspring.core.fleet.ServiceName;
import org.oleanderspring.core.residency.ModelDemand;
import org.oleanderspring.core.residency.ResidencyOrderReply;
import org.oleanderspring.core.route.FleetConfiguration;
import org.oleanderspring.core.routing.Target;
import org.oleanderspring.core.runner.RunnerRegistration;
import org.oleanderspring.core.runner.RunnerState;

/** An input event of the residency decider. */
public sealed interface ResidencyEvent {
    /**
     * The operators changed the configuration.
     *
     * @param configuration the new configuration
     */
    record ConfigurationChanged(FleetConfiguration configuration) implements ResidencyEvent {}

    /**
     * The registered runners changed.
     *
     * @param runners all registered runners
     */
    record RunnersListed(List<RunnerRegistration> runners) implements ResidencyEvent {
        /** Makes an immutable copy of the list. */
        public RunnersListed {
            runners = List.copyOf(runners);
        }
    }

    /**
     * A daemon reported its calls for the models of a service.
     *
     * @param daemon the daemon
     * @param service the service
     * @param demands the models with calls; all other models have none at that daemon
     */
    record DemandReported(MemberId daemon, ServiceName service, List<ModelDemand> demands)
            implements ResidencyEvent {
        /** Makes an immutable copy of the list. */
        public DemandReported {
            demands = List.copyOf(demands);
        }
    }

    /**
     * Calls wait at a daemon for a model or adapter that no runner holds.
     *
     * @param daemon the daemon
     * @param target the model or adapter
     * @param waiting the number of waiting calls
     * @param untilDeadline the time until the earliest deadline of these calls
     */
    record LoadRequested(
            MemberId daemon, Target.ServiceModelTarget target, int waiting, Duration untilDeadline)
            implements ResidencyEvent {}

    /**
     * This daemon became the one that sends orders.
     *
     * @param token the fencing token of its orders
     * @param ordersFrom the time before which no order may be sent, because the previous holder may
     *     still send orders
     * @param deferredRunners the runners to which no order may be sent until the given later time,
     *     because the previous holder has just sent them an order
     */
    record TenureBegan(
            FencingToken token, Instant ordersFrom, Map<EndpointId, Instant> deferredRunners)
            implements ResidencyEvent {
        /** Makes an immutable copy of the map. */
        public TenureBegan {
            deferredRunners = Map.copyOf(deferredRunners);
        }
    }

    /** This daemon must not send orders any more. */
    record TenureEnded() implements ResidencyEvent {}

    /**
     * A runner returned its state.
     *
     * @param runner the runner
     * @param state its state
     */
    record StateRead(EndpointId runner, RunnerState state) implements ResidencyEvent {}

    /**
     * The state of a runner could not be read.
     *
     * @param runner the runner
     * @param reason the reason, for the log
     */
    record StateReadFailed(EndpointId runner, String reason) implements ResidencyEvent {}

    /**
     * The exchange of an order with a runner ended.
     *
     * @param runner the runner
     * @param order the sequence number of the order
     * @param reply the reply
     */
    record OrderReplied(EndpointId runner, long order, ResidencyOrderReply reply)
            implements ResidencyEvent {}

    /**
     * A daemon reported what a runner has said about itself in its responses. Repeated for as long
     * as it holds.
     *
     * @param runner the runner
     * @param statement what it said
     */
    record RunnerStated(EndpointId runner, EndpointStatement statement) implements ResidencyEvent {}

    /** The periodic timer or a scheduled timer fired. */
    record TimerFired() implements ResidencyEvent {}
}
