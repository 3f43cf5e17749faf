package org.oleanderspring.daemon.gateway.routing.command;

import java.util.Objects;
import org.oleanderspring.core.organisation.CallerIdentity;
import org.oleanderspring.core.route.Route;
import org.oleanderspring.core.routing.CallRequest;

/**
 * A request that routing is handling.
 *
 * @param request the request as the client sent it
 * @param route the route that the request matched
 * @param call the request in the form that the routing decider works with
 * @param response the response to the client
 * @param caller on whose behalf the client sent it
 */
record GatewayCall(
        GatewayRequest request,
        Route route,
        CallRequest call,
        CallerResponse response,
        CallerIdentity caller) {
    GatewayCall {
        Objects.requireNonNull(request, "request");
        Objects.requireNonNull(route, "route");
        Objects.requireNonNull(call, "call");
        Objects.requireNonNull(response, "response");
        Objects.requireNonNull(caller, "caller");
    }

    /** Returns the name by which the client and the log identify the request. */
    String attemptName() {
        return request.head().attemptName();
    }
}
