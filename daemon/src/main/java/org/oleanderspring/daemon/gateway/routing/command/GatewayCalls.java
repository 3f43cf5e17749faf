package org.oleanderspring.daemon.gateway.routing.command;

import java.time.Duration;
import java.time.Instant;
import org.jspecify.annotations.Nullable;
import org.oleanderspring.core.fleet.ModelReference;
import org.oleanderspring.core.fleet.ServiceName;
import org.oleanderspring.core.port.EndpointCall;
import org.oleanderspring.core.route.FleetConfiguration;
import org.oleanderspring.core.route.Route;
import org.oleanderspring.core.route.RouteKind;
import org.oleanderspring.core.route.ServiceDescription;
import org.oleanderspring.core.routing.CallRequest;
import org.oleanderspring.core.routing.DeadlineScope;
import org.oleanderspring.core.routing.Repetition;
import org.oleanderspring.core.routing.Target;
import org.oleanderspring.core.runner.RunnerRegistration;

/** Translates requests into calls and attempts. */
final class GatewayCalls {
    private GatewayCalls() {}

    /** Returns the call that a request makes on its route. */
    static GatewayCall call(GatewayRequest request, Route route, FleetConfiguration configuration) {
        ServiceName service = route.serviceOf(request.head().attemptName().hashCode());
        Duration time = route.timeout();
        Duration clientTime = request.head().responseTimeout();
        if (clientTime != null && clientTime.compareTo(time) < 0) {
            time = clientTime;
        }
        Instant deadline = request.arrivedAt().plus(time);
        Instant callerLeaves = request.arrivedAt().plus(route.callerPatience());
        CallRequest call =
                new CallRequest(
                        request.id(),
                        target(service, request.head().model(), configuration),
                        null,
                        -route.priority(),
                        deadline,
                        request.head().prefixHash(),
                        repetition(route),
                        route.attemptLimit(),
                        DeadlineScope.FULL_RESPONSE,
                        callerLeaves.isBefore(deadline) ? callerLeaves : deadline);
        return new GatewayCall(request, route, call, new CallerAnswer(request.stream()));
    }

    private static Target target(
            ServiceName service, @Nullable ModelReference model, FleetConfiguration configuration) {
        ServiceDescription description = configuration.services().get(service);
        boolean hasEngine = description != null && description.engine() != null;
        if (model == null || !hasEngine) {
            return new Target.ServiceTarget(service);
        }
        return new Target.ServiceModelTarget(service, model);
    }

    private static Repetition repetition(Route route) {
        if (route.kind() == RouteKind.IDEMPOTENT) {
            return Repetition.REPEATABLE;
        }
        boolean resumable = route.kind() == RouteKind.STREAMING && route.resumable();
        return resumable ? Repetition.RESUMABLE : Repetition.AT_MOST_ONCE;
    }

    /** Returns the attempt of a call at a runner. */
    static EndpointCall attempt(
            GatewayCall call, RunnerRegistration runner, Instant deadline, Instant now) {
        GatewayRequest request = call.request();
        return new EndpointCall(
                call.name(),
                runner.address(),
                request.method(),
                request.path(),
                request.headers(),
                request.body(),
                call.call().priority(),
                Duration.between(now, deadline),
                runner.instance(),
                call.answer().lastEventId());
    }
}
