package org.oleanderspring.core.placement.query;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.oleanderspring.core.fleet.Endpoint;
import org.oleanderspring.core.fleet.EndpointId;
import org.oleanderspring.core.placement.Plan;
import org.oleanderspring.core.placement.Slot;
import org.oleanderspring.core.placement.SlotState;

/** Extracts the replicas that routers may use from a plan. */
public final class PlacedReplicas {
    private PlacedReplicas() {}

    /**
     * Returns the ready and the draining replicas, in the order of the plan.
     *
     * @param plan the plan
     * @param endpoints the endpoints that are currently known; replicas on other endpoints are
     *     omitted
     */
    public static List<PlacedReplica> of(Plan plan, Collection<Endpoint> endpoints) {
        Map<EndpointId, Endpoint> byId = new HashMap<>();
        endpoints.forEach(endpoint -> byId.put(endpoint.id(), endpoint));
        List<PlacedReplica> replicas = new ArrayList<>();
        for (Slot slot : plan.slots()) {
            Endpoint endpoint = byId.get(slot.key().runner());
            if (endpoint != null && isPlaced(slot)) {
                boolean draining = slot.state() == SlotState.DRAINING;
                replicas.add(new PlacedReplica(slot.key().name(), endpoint, draining));
            }
        }
        return replicas;
    }

    private static boolean isPlaced(Slot slot) {
        return slot.state() == SlotState.READY || slot.state() == SlotState.DRAINING;
    }
}
