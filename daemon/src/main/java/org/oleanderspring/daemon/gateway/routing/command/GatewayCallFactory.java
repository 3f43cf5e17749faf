package org.oleanderspring.daemon.gateway.routing.command;

import java.time.Duration;
import java.time.Instant;
import org.jspecify.annotations.Nullable;
import org.oleanderspring.core.fleet.ModelReference;
import org.oleanderspring.core.fleet.ServiceName;
import org.oleanderspring.core.organisation.AuthenticationResult;
import org.oleanderspring.core.organisation.CallerIdentity;
import org.oleanderspring.core.organisation.OrganisationName;
import org.oleanderspring.core.port.EndpointCall;
import org.oleanderspring.core.route.FleetConfiguration;
import org.oleanderspring.core.route.Route;
import org.oleanderspring.core.route.RouteKind;
import org.oleanderspring.core.route.ServiceDescription;
import org.oleanderspring.core.routing.CallOrigin;
import org.oleanderspring.core.routing.CallRequest;
import org.oleanderspring.core.routing.DeadlineScope;
import org.oleanderspring.core.routing.Repetition;
import org.oleanderspring.core.routing.Target;
import org.oleanderspring.core.runner.RunnerRegistration;

/** Creates calls from requests, and the attempts of calls. */
final class GatewayCallFactory {
    private GatewayCallFactory() {}

    /**
     * Returns the call for a request. Its deadline follows from the shorter of the route's timeout
     * and the client's own. The response has to begin by the time at which the caller is expected
     * to disconnect. The priority of the caller's organisation takes precedence over that of the
     * route.
     */
    static GatewayCall newCall(
            GatewayRequest request,
            Route route,
            FleetConfiguration configuration,
            AuthenticationResult.Accepted accepted) {
        Integer priority = accepted.priority();
        ServiceName service = route.serviceOf(request.head().attemptName().hashCode());
        Duration timeout = route.timeout();
        Duration clientTimeout = request.head().responseTimeout();
        if (clientTimeout != null && clientTimeout.compareTo(timeout) < 0) {
            timeout = clientTimeout;
        }
        Instant deadline = request.arrivedAt().plus(timeout);
        Instant callerDisconnectsAt = request.arrivedAt().plus(route.callerPatience());
        CallRequest call =
                new CallRequest(
                        request.id(),
                        target(service, request.head().model(), configuration),
                        null,
                        // Routes with a lower number are more urgent, calls with a higher one.
                        -(priority == null ? route.priority() : priority),
                        deadline,
                        request.head().prefixHash(),
                        repetition(route),
                        route.attemptLimit(),
                        DeadlineScope.FULL_RESPONSE,
                        callerDisconnectsAt.isBefore(deadline) ? callerDisconnectsAt : deadline,
                        request.head().prompt(),
                        new CallOrigin(organisation(accepted.caller()), request.head().tokens()));
        return new GatewayCall(
                request, route, call, new CallerResponse(request.stream()), accepted.caller());
    }

    private static @Nullable OrganisationName organisation(CallerIdentity caller) {
        return caller instanceof CallerIdentity.Member member ? member.organisation() : null;
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

    /**
     * Returns the request of one attempt to a runner. It states the time left until the deadline of
     * the attempt and, if a stream is resumed, the id of the last event that was forwarded.
     */
    static EndpointCall newAttempt(
            GatewayCall call, RunnerRegistration runner, Instant deadline, Instant now) {
        GatewayRequest request = call.request();
        return new EndpointCall(
                call.attemptName(),
                runner.address(),
                request.method(),
                request.path(),
                request.headers(),
                request.body(),
                call.call().priority(),
                Duration.between(now, deadline),
                runner.instance(),
                call.response().lastEventId(),
                call.caller());
    }
}
