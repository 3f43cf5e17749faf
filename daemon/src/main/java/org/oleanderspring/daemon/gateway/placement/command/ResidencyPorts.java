package org.oleanderspring.daemon.gateway.placement.command;

import java.util.Objects;
import org.oleanderspring.coordination.store.command.KeyValueCommands;
import org.oleanderspring.coordination.store.query.ValueQueries;
import org.oleanderspring.core.port.command.ResidencyCommands;
import org.oleanderspring.core.port.query.RunnerStateQueries;

/**
 * The outgoing interfaces of the gateway's placement duty.
 *
 * @param storeCommands writes to the metadata store
 * @param storeQueries reads from the metadata store
 * @param orders sends orders to runners
 * @param states reads the state of runners
 * @param notifier informs the daemons about loaded models
 * @param runnerWatch sets the pause of the watch on the registered runners
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
