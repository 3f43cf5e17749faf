package org.oleanderspring.daemon.gateway.routing.command;

import java.util.Objects;
import org.oleanderspring.core.port.command.EndpointCommands;

/**
 * The outgoing interfaces of the gateway's routing duty.
 *
 * @param endpoints sends attempts to runners
 * @param placement sends demand reports and load requests to the holder of the placement lease
 * @param permits sends requests for permits to the daemons that issue them
 * @param shares sends requests for parts of shared rates to the daemons that issue them
 * @param prompts receives what answers show about prompts
 */
public record GatewayPorts(
        EndpointCommands endpoints,
        PlacementNotifier placement,
        PermitNotifier permits,
        ShareRequester shares,
        PromptObserver prompts) {
    /** Rejects null components. */
    public GatewayPorts {
        Objects.requireNonNull(endpoints, "endpoints");
        Objects.requireNonNull(placement, "placement");
        Objects.requireNonNull(permits, "permits");
        Objects.requireNonNull(shares, "shares");
        Objects.requireNonNull(prompts, "prompts");
    }
}
