package org.oleanderspring.daemon.gateway.placement.command;

import java.util.Objects;
import org.oleanderspring.coordination.store.command.KeyValueCommands;
import org.oleanderspring.coordination.store.query.ValueQueries;
import org.oleanderspring.core.port.command.ResidencyCommands;
import org.oleanderspring.core.port.query.RunnerStateQueries;

/**
 * What the duty that gives orders to runners acts through.
 *
 * @param storeCommands changes the store
 * @param storeQueries reads the store
 * @param orders gives orders to runners
 * @param states asks runners for their state
 * @param notifier tells daemons what runners hold
 * @param runnerWatch sets how closely the registered runners are followed
 */
public record ResidencyPorts(
        KeyValueCommands storeCommands,
        ValueQueries storeQueries,
        ResidencyCommands orders,
        RunnerStateQueries states,
        ResidencyNotifier notifier,
        RunnerWatchPace runnerWatch) {
    /** Checks for missing parts. */
    public ResidencyPorts {
        Objects.requireNonNull(storeCommands, "storeCommands");
        Objects.requireNonNull(storeQueries, "storeQueries");
        Objects.requireNonNull(orders, "orders");
        Objects.requireNonNull(states, "states");
        Objects.requireNonNull(notifier, "statements");
        Objects.requireNonNull(runnerWatch, "registry");
    }
}
