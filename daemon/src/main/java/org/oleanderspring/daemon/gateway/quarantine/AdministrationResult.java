package org.oleanderspring.daemon.gateway.quarantine;

import java.util.List;
import org.oleanderspring.core.quarantine.QuarantineEntry;

/** The result of an operator's command on the quarantine. */
public sealed interface AdministrationResult {
    /**
     * The command succeeded.
     *
     * @param entries the entries that it concerns
     */
    record Entries(List<QuarantineEntry> entries) implements AdministrationResult {
        /** Copies the list. */
        public Entries {
            entries = List.copyOf(entries);
        }
    }

    /** There is no entry in force with the given id. */
    record NotFound() implements AdministrationResult {}

    /**
     * The key-value service could not be read or written.
     *
     * @param reason the cause
     */
    record Unavailable(String reason) implements AdministrationResult {}
}
