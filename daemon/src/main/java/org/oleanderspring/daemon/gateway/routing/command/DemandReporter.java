package org.oleanderspring.daemon.gateway.routing.command;

import java.time.Duration;
import java.time.Instant;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.oleanderspring.core.load.EndpointUse;
import org.oleanderspring.core.routing.AttemptId;
import org.oleanderspring.core.routing.CallId;
import org.oleanderspring.core.routing.Target;
import org.oleanderspring.core.routing.command.RoutingDecision;
import org.oleanderspring.daemon.gateway.GatewayMember;

/** Reports the calls of this daemon to the holder of the placement lease. */
final class DemandReporter {
    private final PlacementNotifier mNotifier;
    private final HostedFleet mFleet;
    private final ModelDemandCounter mCounter = new ModelDemandCounter();

    DemandReporter(PlacementNotifier notifier, HostedFleet fleet) {
        mNotifier = notifier;
        mFleet = fleet;
    }

    void countArrival(Target target) {
        mCounter.countArrival(target);
    }

    void requestLoad(RoutingDecision.RequestLoad request, Instant now) {
        Optional<GatewayMember> holder = mFleet.view().placementHolder();
        CallLog.loadRequested(request, holder.map(member -> member.id().value()).orElse("none"));
        holder.ifPresent(
                member ->
                        mNotifier.requestLoad(
                                member,
                                request.target(),
                                request.waiting(),
                                Duration.between(now, request.earliestDeadline())));
    }

    /** Reports the demand for models. Without a holder, the counts go on. */
    void reportDemand(Collection<GatewayCall> calls, Collection<AttemptId> attempts) {
        Optional<GatewayMember> holder = mFleet.view().placementHolder();
        if (holder.isEmpty()) {
            return;
        }
        Set<CallId> running = new HashSet<>();
        attempts.forEach(attempt -> running.add(attempt.call()));
        mCounter.takeCounts(calls, running)
                .forEach(
                        (service, demands) ->
                                mNotifier.reportDemand(holder.get(), service, demands));
    }

    /** Reports the calls at endpoints, unless there are none. */
    void reportEndpointUse(List<EndpointUse> uses) {
        if (uses.isEmpty()) {
            return;
        }
        mFleet.view()
                .placementHolder()
                .ifPresent(holder -> mNotifier.reportEndpointUse(holder, uses));
    }
}
