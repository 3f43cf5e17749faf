package org.oleanderspring.daemon.gateway.process.command;

import org.oleanderspring.daemon.gateway.placement.command.ResidencyInput;
import org.oleanderspring.daemon.gateway.quarantine.command.QuarantineInput;
import org.oleanderspring.daemon.gateway.routing.command.GatewayRoutingInput;

/** Names the kinds of events of the gateway's duties, by which their work is measured. */
final class DutyEventKinds {
    private DutyEventKinds() {}

    static String of(GatewayRoutingInput input) {
        return nameOf(input instanceof GatewayRoutingInput.Event event ? event.event() : input);
    }

    static String of(ResidencyInput input) {
        if (input instanceof ResidencyInput.Placement placement) {
            return nameOf(placement.event());
        }
        return nameOf(input instanceof ResidencyInput.Lease lease ? lease.event() : input);
    }

    static String of(QuarantineInput input) {
        return nameOf(input instanceof QuarantineInput.Event event ? event.event() : input);
    }

    private static String nameOf(Object event) {
        return event.getClass().getSimpleName();
    }
}
