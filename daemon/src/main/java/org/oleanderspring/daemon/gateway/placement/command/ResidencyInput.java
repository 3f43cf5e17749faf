package org.oleanderspring.daemon.gateway.placement.command;

import java.util.concurrent.CompletableFuture;
import org.oleanderspring.coordination.lease.command.LeaseEvent;
import org.oleanderspring.core.residency.command.ResidencyEvent;
import org.oleanderspring.daemon.gateway.StoreUpdate;

/** What arrives in the ring of the duty that gives orders to runners. */
public sealed interface ResidencyInput {
    /**
     * An event for the placement decider.
     *
     * @param event the event
     */
    record Placement(ResidencyEvent event) implements ResidencyInput {}

    /**
     * An event for the lease decider.
     *
     * @param event the event
     */
    record Lease(LeaseEvent event) implements ResidencyInput {}

    /**
     * News from the platform's store.
     *
     * @param update the news
     */
    record StoreChanged(StoreUpdate update) implements ResidencyInput {}

    /** Time has passed. */
    record TimerFired() implements ResidencyInput {}

    /** The daemon will stop: it gives no more orders, but still holds its leases. */
    record OrdersEnded() implements ResidencyInput {}

    /**
     * The daemon stops: give the leases back.
     *
     * @param done completed when that is done
     */
    record StopAsked(CompletableFuture<Boolean> done) implements ResidencyInput {}
}
