package org.oleanderspring.daemon.gateway.permit.command;

import org.oleanderspring.core.permit.PermitGrant;
import org.oleanderspring.daemon.gateway.GatewayMember;

/** Sends permits to the daemons that asked for them. A message may be lost. */
public interface PermitGrantNotifier {
    /**
     * Sends permits.
     *
     * @param member the daemon that asked
     * @param grant the permits
     */
    void sendPermits(GatewayMember member, PermitGrant grant);
}
