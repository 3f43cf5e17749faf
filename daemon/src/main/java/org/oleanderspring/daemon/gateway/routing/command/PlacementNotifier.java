package org.oleanderspring.daemon.gateway.routing.command;

import java.time.Duration;
import java.util.List;
import org.oleanderspring.core.fleet.ServiceName;
import org.oleanderspring.core.load.EndpointUse;
import org.oleanderspring.core.residency.ModelDemand;
import org.oleanderspring.core.routing.Target;
import org.oleanderspring.daemon.gateway.GatewayMember;

/**
 * Sends messages to the holder of the placement lease. Delivery is not guaranteed: a message may be
 * lost.
 */
public interface PlacementNotifier {
    /**
     * Reports the demand for a service's models at this daemon.
     *
     * @param holder the holder of the placement lease
     * @param service the service
     * @param demands the demand for each model; empty if there is none any more
     */
    void reportDemand(GatewayMember holder, ServiceName service, List<ModelDemand> demands);

    /**
     * Requests the load of a model or adapter that calls wait for.
     *
     * @param holder the holder of the placement lease
     * @param target the model or adapter
     * @param waiting the number of waiting calls
     * @param untilDeadline the time until the earliest deadline among the waiting calls
     */
    void requestLoad(
            GatewayMember holder,
            Target.ServiceModelTarget target,
            int waiting,
            Duration untilDeadline);

    /**
     * Reports the calls of this daemon at endpoints.
     *
     * @param holder the holder of the placement lease
     * @param uses the endpoints at which it runs calls or received responses
     */
    void reportEndpointUse(GatewayMember holder, List<EndpointUse> uses);
}
