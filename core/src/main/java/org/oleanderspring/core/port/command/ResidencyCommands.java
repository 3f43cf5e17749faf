package org.oleanderspring.core.port.command;

import java.util.concurrent.CompletableFuture;
import org.oleanderspring.coordination.membership.Address;
import org.oleanderspring.core.residency.ResidencyOrder;
import org.oleanderspring.core.residency.ResidencyOrderReply;

/** Gives orders to runners that count the orders they accept. */
public interface ResidencyCommands {
    /**
     * Sends an order.
     *
     * @param address where the runner listens
     * @param instance the run of the runner's process that the order is for
     * @param holder the name of the sender
     * @param order the order
     * @return the reply; never completes exceptionally
     */
    CompletableFuture<ResidencyOrderReply> send(
            Address address, String instance, String holder, ResidencyOrder order);
}
