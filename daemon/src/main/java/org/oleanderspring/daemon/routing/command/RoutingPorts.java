package org.oleanderspring.daemon.routing.command;

import java.util.Objects;
import org.oleanderspring.core.port.command.EndpointCommands;

/**
 * The ports through which the routing duty acts.
 *
 * @param endpoints sends calls to endpoints
 * @param claims asks for dispatch records
 * @param wakes sends wake requests
 * @param uses reports the use of models
 */
public record RoutingPorts(
        EndpointCommands endpoints,
        ClaimCommands claims,
        ActivationCommands wakes,
        ModelUseCommands uses) {
    /** Checks for missing parts. */
    public RoutingPorts {
        Objects.requireNonNull(endpoints, "endpoints");
        Objects.requireNonNull(claims, "claims");
        Objects.requireNonNull(wakes, "wakes");
        Objects.requireNonNull(uses, "uses");
    }
}
