package org.oleanderspring.core.routing.command;

import java.time.Instant;
import java.util.List;

/** Turns routing events into decisions; owns the routing state of one daemon. */
public interface RoutingDecider {
    /**
     * Handles one event.
     *
     * @param event what happened
     * @param now the current time; never goes back
     * @return what to do, in order
     */
    List<RoutingDecision> decide(RoutingEvent event, Instant now);
}
