package org.oleanderspring.daemon.gateway.routing.command;

import java.util.Objects;
import org.oleanderspring.core.port.command.EndpointCommands;

/**
 * What the gateway's routing duty acts through.
 *
 * @param endpoints sends attempts to runners
 * @param placement tells the daemon that gives orders what is in use
 */
public record GatewayPorts(EndpointCommands endpoints, PlacementNotifier placement) {
    /** Checks for missing parts. */
    public GatewayPorts {
        Objects.requireNonNull(endpoints, "endpoints");
        Objects.requireNonNull(placement, "placement");
    }
}
