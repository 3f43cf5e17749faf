package org.oleanderspring.daemon.gateway.routing.command;

import java.time.Duration;
import java.util.List;
import org.oleanderspring.core.fleet.ServiceName;
import org.oleanderspring.core.residency.ModelDemand;
import org.oleanderspring.core.routing.Target;
import org.oleanderspring.daemon.gateway.GatewayMember;

/** Tells the daemon that gives orders to runners which models are in use. A message may be lost. */
public interface PlacementNotifier {
    /**
     * Reports the use of a service's models.
     *
     * @param holder the daemon that gives orders
     * @param service the service
     * @param demands the models in use
     */
    void reportDemand(GatewayMember holder, ServiceName service, List<ModelDemand> demands);

    /**
     * Asks for a model or adapter that calls wait for.
     *
     * @param holder the daemon that gives orders
     * @param target the model or adapter
     * @param waiting how many calls wait
     * @param untilDeadline how long the first of them waits at most
     */
    void requestLoad(
            GatewayMember holder,
            Target.ServiceModelTarget target,
            int waiting,
            Duration untilDeadline);
}
