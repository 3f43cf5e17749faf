package org.oleanderspring.coordination.document.command;

import java.time.Instant;
import java.util.List;

/** Turns document events into decisions; owns the documents of one member. */
public interface DocumentDecider {
    /**
     * Handles one event.
     *
     * @param event what happened
     * @param now the current time of a clock that never goes back
     * @return what to do, in order
     */
    List<DocumentDecision> decide(DocumentEvent event, Instant now);
}
