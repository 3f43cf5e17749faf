package org.oleanderspring.daemon.gateway.routing.command;

import org.oleanderspring.core.permit.PermitRequest;
import org.oleanderspring.daemon.gateway.GatewayMember;

/** Sends requests for permits to the daemons that issue them. A message may be lost. */
public interface PermitNotifier {
    /**
     * Asks for permits.
     *
     * @param issuer the daemon to ask
     * @param request the request
     */
    void requestPermits(GatewayMember issuer, PermitRequest request);
}
