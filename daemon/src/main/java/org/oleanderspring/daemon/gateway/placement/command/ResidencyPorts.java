package org.oleanderspring.daemon.gateway.placement.command;

import java.util.Objects;
import org.oleanderspring.coordination.store.command.KeyValueCommands;
import org.oleanderspring.coordination.store.query.ValueQueries;
import org.oleanderspring.core.port.command.ResidencyCommands;
import org.oleanderspring.core.port.query.RunnerStateQueries;

/**
 * The outgoing interfaces of the gateway's placement duty.
 *
 * @param storeCommands writes leases to the key-value service
 * @param storeQueries reads leases from the key-value service
 * @param orders sends orders to load and unload models to runners
 * @param states reads the state of runners
 * @param notifier informs the daemons about loaded models and about estimated ready times
 * @param runnerWatch sets how often changes of the registered runners are read: after a short pause
 *     while this daemon holds the placement lease, otherwise after a longer one
 */
public record ResidencyPorts(
        KeyValueCommands storeCommands,
        ValueQueries storeQueries,
        ResidencyCommands orders,
        RunnerStateQueries states,
        ResidencyNotifier notifier,
        RunnerWatchPace runnerWatch) {
    /** Rejects null components. */
    public ResidencyPorts {
        Objects.requireNonNull(storeCommands, "storeCommands");
        Objects.requireNonNull(storeQueries, "storeQueries");
        Objects.requireNonNull(orders, "orders");
        Objects.requireNonNull(states, "states");
        Objects.requireNonNull(notifier, "notifier");
        Objects.requireNonNull(runnerWatch, "runnerWatch");
    }
}
