package org.oleanderspring.daemon.gateway.placement.command;

import java.time.Duration;
import java.util.List;
import org.oleanderspring.core.load.EndpointLoad;
import org.oleanderspring.core.residency.Residency;
import org.oleanderspring.core.routing.Target;
import org.oleanderspring.daemon.gateway.GatewayMember;

/**
 * Informs the daemons which models the runners have loaded. Delivery is not guaranteed: a message
 * may be lost.
 */
public interface ResidencyNotifier {
    /**
     * Sends the models that one runner has loaded.
     *
     * @param member the receiving daemon
     * @param residency the models and adapters of the runner
     */
    void notifyResidency(GatewayMember member, Residency residency);

    /**
     * Sends an estimate of when a model or adapter will be loaded.
     *
     * @param member the receiving daemon
     * @param target the model or adapter
     * @param readyAfter the estimated time until it is loaded
     */
    void notifyReadyTime(
            GatewayMember member, Target.ServiceModelTarget target, Duration readyAfter);

    /**
     * Sends the calls of all daemons at endpoints.
     *
     * @param member the receiving daemon
     * @param loads the endpoints that run calls or are slow
     */
    void notifyEndpointLoads(GatewayMember member, List<EndpointLoad> loads);
}
