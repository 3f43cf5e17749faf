package org.oleanderspring.daemon.gateway.placement.command;

import org.oleanderspring.core.residency.Residency;
import org.oleanderspring.daemon.gateway.GatewayMember;

/** Tells daemons what runners hold. A message may be lost. */
public interface ResidencyStatements {
    /**
     * Tells one daemon.
     *
     * @param member the daemon
     * @param residency what a runner holds
     */
    void state(GatewayMember member, Residency residency);
}
