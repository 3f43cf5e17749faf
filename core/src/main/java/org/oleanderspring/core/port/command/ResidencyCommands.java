package org.oleanderspring.core.port.command;

import java.util.concurrent.CompletableFuture;
import org.oleanderspring.coordination.membership.Address;
import org.oleanderspring.core.residency.ResidencyOrder;
import org.oleanderspring.core.residency.ResidencyOrderReply;

/**
 * Sends orders to runners that count the orders they accept. A runner rejects an order whose
 * expected count differs from its own.
 */
public interface ResidencyCommands {
    /**
     * Sends an order.
     *
     * @param address the address of the runner
     * @param instance the run of the runner's process for which the order is meant
     * @param holder the name of the sender
     * @param order the order
     * @return the reply; never completes exceptionally
     */
    CompletableFuture<ResidencyOrderReply> send(
            Address address, String instance, String holder, ResidencyOrder order);
}
