package org.oleanderspring.core.residency.command;

import java.time.Instant;
import java.util.List;

/**
 * Maps events to orders to runners and owns what one daemon knows about the models of all runners.
 * Instances are not thread-safe; a single thread calls them.
 */
public interface ResidencyDecider {
    /**
     * Processes one event.
     *
     * @param event the event
     * @param now the current time, which must not decrease between calls
     * @return the decisions, in the order in which they must be executed
     */
    List<ResidencyDecision> decide(ResidencyEvent event, Instant now);
}
