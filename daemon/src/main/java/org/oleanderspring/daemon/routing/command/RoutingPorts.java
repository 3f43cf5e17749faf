package org.oleanderspring.daemon.routing.command;

import java.util.Objects;
import org.oleanderspring.core.port.command.EndpointCommands;

/**
 * The outgoing interfaces of the routing duty.
 *
 * @param endpoints sends attempts to endpoints
 * @param claims requests dispatch records
 * @param activations sends activation requests
 * @param uses reports the use of models
 */
public record RoutingPorts(
        EndpointCommands endpoints,
        ClaimCommands claims,
        ActivationCommands activations,
        ModelUseCommands uses) {
    /** Rejects null components. */
    public RoutingPorts {
        Objects.requireNonNull(endpoints, "endpoints");
        Objects.requireNonNull(claims, "claims");
        Objects.requireNonNull(activations, "activations");
        Objects.requireNonNull(uses, "uses");
    }
}
