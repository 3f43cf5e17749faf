package org.oleanderspring.coordination.document.command;

import java.time.Instant;
import java.util.List;

/**
 * A state machine for one member's copies of the shared documents that are stored in the key-value
 * service: turns events into decisions. Not thread-safe; a single thread owns it.
 */
public interface DocumentDecider {
    /**
     * Handles one event.
     *
     * @param event what happened
     * @param now the current time of a monotonic clock of this member; compared only with other
     *     times of the same clock
     * @return the actions to execute, in order
     */
    List<DocumentDecision> decide(DocumentEvent event, Instant now);
}
