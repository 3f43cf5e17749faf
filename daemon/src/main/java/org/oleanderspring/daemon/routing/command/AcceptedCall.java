package org.oleanderspring.daemon.routing.command;

import java.util.Objects;
import org.oleanderspring.core.routing.CallRequest;
import org.oleanderspring.daemon.front.IncomingCall;

/**
 * A call with the request that routing knows it by.
 *
 * @param call the call
 * @param request the request
 */
record AcceptedCall(IncomingCall call, CallRequest request) {
    /** Checks for missing parts. */
    AcceptedCall {
        Objects.requireNonNull(call, "call");
        Objects.requireNonNull(request, "request");
    }
}
