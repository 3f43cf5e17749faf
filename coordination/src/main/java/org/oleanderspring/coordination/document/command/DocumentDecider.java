package org.oleanderspring.coordination.document.command;

import java.time.Instant;
import java.util.List;

/**
 * A state machine for the documents of one member: turns events into decisions. Not thread-safe; a
 * single thread owns it.
 */
public interface DocumentDecider {
    /**
     * Handles one event.
     *
     * @param event what happened
     * @param now the current time of a monotonic clock
     * @return the actions to execute, in order
     */
    List<DocumentDecision> decide(DocumentEvent event, Instant now);
}
