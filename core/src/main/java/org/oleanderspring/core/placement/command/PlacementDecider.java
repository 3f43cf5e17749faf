package org.oleanderspring.core.placement.command;

import java.time.Instant;
import java.util.List;

/** Turns placement events into decisions; owns the placement state of one cell. */
public interface PlacementDecider {
    /**
     * Handles one event.
     *
     * @param event what happened
     * @param now the current time; never goes back
     * @return what to do, in order
     */
    List<PlacementDecision> decide(PlacementEvent event, Instant now);
}
