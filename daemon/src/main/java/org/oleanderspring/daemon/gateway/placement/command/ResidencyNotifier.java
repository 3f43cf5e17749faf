package org.oleanderspring.daemon.gateway.placement.command;

import java.time.Duration;
import org.oleanderspring.core.residency.Residency;
import org.oleanderspring.core.routing.Target;
import org.oleanderspring.daemon.gateway.GatewayMember;

/** Tells daemons what runners hold. A message may be lost. */
public interface ResidencyNotifier {
    /**
     * Tells one daemon.
     *
     * @param member the daemon
     * @param residency what a runner holds
     */
    void notifyResidency(GatewayMember member, Residency residency);

    /**
     * Tells one daemon how long calls for a model or adapter have to wait.
     *
     * @param member the daemon
     * @param target the model or adapter
     * @param readyAfter how long
     */
    void notifyReadyTime(
            GatewayMember member, Target.ServiceModelTarget target, Duration readyAfter);
}
