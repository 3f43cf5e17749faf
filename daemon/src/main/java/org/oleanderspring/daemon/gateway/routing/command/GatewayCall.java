package org.oleanderspring.daemon.gateway.routing.command;

import java.util.Objects;
import org.oleanderspring.core.route.Route;
import org.oleanderspring.core.routing.CallRequest;

/**
 * A request on its way through routing.
 *
 * @param request what the client sent
 * @param route its route
 * @param call what routing knows of it
 * @param answer the part of the answer that was passed on
 */
record GatewayCall(GatewayRequest request, Route route, CallRequest call, CallerAnswer answer) {
    GatewayCall {
        Objects.requireNonNull(request, "request");
        Objects.requireNonNull(route, "route");
        Objects.requireNonNull(call, "call");
        Objects.requireNonNull(answer, "answer");
    }

    /** Returns the client's name of the request, for the log. */
    String name() {
        return request.head().attemptName();
    }
}
