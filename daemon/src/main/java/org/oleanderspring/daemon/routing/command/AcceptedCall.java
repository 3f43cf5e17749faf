package org.oleanderspring.daemon.routing.command;

import java.util.Objects;
import org.oleanderspring.core.routing.CallRequest;
import org.oleanderspring.daemon.front.IncomingCall;

/**
 * A call that the routing duty is handling.
 *
 * @param call the call as the front end passed it on
 * @param request the call in the form that the routing decider works with
 */
record AcceptedCall(IncomingCall call, CallRequest request) {
    /** Rejects null components. */
    AcceptedCall {
        Objects.requireNonNull(call, "call");
        Objects.requireNonNull(request, "request");
    }
}
