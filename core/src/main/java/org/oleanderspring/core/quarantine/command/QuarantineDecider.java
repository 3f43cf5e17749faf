package org.oleanderspring.core.quarantine.command;

import java.time.Instant;
import java.util.List;

/** Decides which prompts are kept away from runners. */
public interface QuarantineDecider {
    /**
     * Applies an event.
     *
     * @param event the event
     * @param now the current time
     * @return the actions to execute, in order
     */
    List<QuarantineDecision> decide(QuarantineEvent event, Instant now);

    /** Returns whether a tick is needed soon, because something waits or is to be repeated. */
    boolean isWaiting();
}
