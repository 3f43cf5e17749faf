package org.oleanderspring.daemon.gateway.front.command;

import org.oleanderspring.core.routing.CallId;
import org.oleanderspring.daemon.gateway.routing.command.GatewayRequest;
import org.oleanderspring.duty.command.OfferResult;

/** Takes the requests that the front end has read. */
public interface GatewayIntake {
    /**
     * Takes a request.
     *
     * @param request the request
     * @return whether it was taken
     */
    OfferResult accept(GatewayRequest request);

    /**
     * Notes that the caller of a request has left.
     *
     * @param call the request
     */
    void callerLeft(CallId call);
}
