package org.oleanderspring.daemon.gateway.routing.command;

import org.oleanderspring.core.share.ShareRequest;
import org.oleanderspring.daemon.gateway.GatewayMember;

/** Sends requests for parts of shared rates to the daemons that issue them; may be lost. */
public interface ShareRequester {
    /**
     * Asks for a part of a rate.
     *
     * @param issuer the daemon to ask
     * @param request the request
     */
    void requestShare(GatewayMember issuer, ShareRequest request);
}
