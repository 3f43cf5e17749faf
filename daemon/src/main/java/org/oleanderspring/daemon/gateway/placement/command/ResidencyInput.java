package org.oleanderspring.daemon.gateway.placement.command;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.oleanderspring.coordination.lease.command.LeaseEvent;
import org.oleanderspring.coordination.membership.MemberId;
import org.oleanderspring.core.load.EndpointUse;
import org.oleanderspring.core.residency.command.ResidencyEvent;
import org.oleanderspring.daemon.gateway.StoreUpdate;

/** An event in the ring of the gateway's placement duty. */
public sealed interface ResidencyInput {
    /**
     * An event that is passed to the placement decider.
     *
     * @param event the event
     */
    record Placement(ResidencyEvent event) implements ResidencyInput {}

    /**
     * An event that is passed to the lease decider.
     *
     * @param event the event
     */
    record Lease(LeaseEvent event) implements ResidencyInput {}

    /**
     * An update from the platform's key-value service arrived.
     *
     * @param update the update
     */
    record StoreChanged(StoreUpdate update) implements ResidencyInput {}

    /**
     * A daemon reported its calls at endpoints.
     *
     * @param daemon the daemon
     * @param uses the endpoints at which it runs calls or received responses
     */
    record EndpointUseReported(MemberId daemon, List<EndpointUse> uses) implements ResidencyInput {
        /** Copies the list. */
        public EndpointUseReported {
            uses = List.copyOf(uses);
        }
    }

    /** The periodic tick of the duty. */
    record TimerFired() implements ResidencyInput {}

    /**
     * A planned stop began: no more orders are sent. The placement lease is handed over once no
     * order can still arrive; the membership lease is still held.
     */
    record OrdersEnded() implements ResidencyInput {}

    /**
     * The planned stop requests the release of all leases.
     *
     * @param done completed with true when they are released
     */
    record StopRequested(CompletableFuture<Boolean> done) implements ResidencyInput {}
}
