package org.oleanderspring.daemon.gateway.quarantine.command;

import java.util.Objects;
import java.util.function.Consumer;
import org.oleanderspring.coordination.store.command.KeyValueCommands;
import org.oleanderspring.core.port.query.RunnerStateQueries;
import org.oleanderspring.core.quarantine.query.Quarantine;

/**
 * The outgoing interfaces of the quarantine duty.
 *
 * @param store writes the entries
 * @param runners shows whether a runner answers
 * @param notifier sends messages to other daemons
 * @param enforcement receives the prompts whose calls are refused from now on
 */
public record QuarantinePorts(
        KeyValueCommands store,
        RunnerStateQueries runners,
        QuarantineNotifier notifier,
        Consumer<Quarantine> enforcement) {
    /** Rejects null components. */
    public QuarantinePorts {
        Objects.requireNonNull(store, "store");
        Objects.requireNonNull(runners, "runners");
        Objects.requireNonNull(notifier, "notifier");
        Objects.requireNonNull(enforcement, "enforcement");
    }
}
