package org.oleanderspring.core.placement.command;

import java.time.Instant;
import java.util.List;

/**
 * Maps placement events to decisions and owns the placement state of one cell. Instances are not
 * thread-safe; the thread that owns the cell calls them.
 */
public interface PlacementDecider {
    /**
     * Processes one event.
     *
     * @param event the event
     * @param now the current time, which must not decrease between calls
     * @return the decisions, in the order in which they must be executed
     */
    List<PlacementDecision> decide(PlacementEvent event, Instant now);
}
