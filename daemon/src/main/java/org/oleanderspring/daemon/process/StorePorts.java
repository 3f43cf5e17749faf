package org.oleanderspring.daemon.process;

import java.util.Objects;
import org.oleanderspring.coordination.store.command.KeyValueCommands;
import org.oleanderspring.coordination.store.query.KeyValueQueries;

/**
 * The command and query interfaces of the key-value service.
 *
 * @param commands changes the key-value service
 * @param queries reads the key-value service
 */
public record StorePorts(KeyValueCommands commands, KeyValueQueries queries) {
    /** Rejects null. */
    public StorePorts {
        Objects.requireNonNull(commands, "commands");
        Objects.requireNonNull(queries, "queries");
    }
}
