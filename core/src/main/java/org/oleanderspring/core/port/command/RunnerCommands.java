package org.oleanderspring.core.port.command;

import java.util.concurrent.CompletableFuture;
import org.oleanderspring.coordination.membership.Address;
import org.oleanderspring.core.placement.OrderResult;
import org.oleanderspring.core.placement.RunnerOrder;

/** Sends orders to runners. */
public interface RunnerCommands {
    /**
     * Sends an order.
     *
     * @param address the address of the runner
     * @param order the order
     * @return the result; never completes exceptionally
     */
    CompletableFuture<OrderResult> send(Address address, RunnerOrder order);
}
