package org.oleanderspring.daemon.process;

import java.util.Objects;
import org.oleanderspring.coordination.store.command.KeyValueCommands;
import org.oleanderspring.coordination.store.query.KeyValueQueries;

/**
 * Both sides of the key-value service.
 *
 * @param commands changes the service
 * @param queries reads the service
 */
public record StorePorts(KeyValueCommands commands, KeyValueQueries queries) {
    /** Checks for missing parts. */
    public StorePorts {
        Objects.requireNonNull(commands, "commands");
        Objects.requireNonNull(queries, "queries");
    }
}
