package org.oleanderspring.daemon.gateway.front.command;

import org.oleanderspring.core.routing.CallId;
import org.oleanderspring.daemon.gateway.routing.command.GatewayRequest;
import org.oleanderspring.duty.command.OfferResult;

/** Accepts requests for routing without blocking; called on threads of the front end. */
public interface GatewayIntake {
    /**
     * Offers a request.
     *
     * @param request the request
     * @return whether it was accepted; if not, the caller has to refuse it
     */
    OfferResult accept(GatewayRequest request);

    /**
     * Reports that the caller of a request has disconnected; may be called more than once.
     *
     * @param call the id of the request
     */
    void callerDisconnected(CallId call);
}
