package org.oleanderspring.core.routing.command;

import java.time.Instant;
import java.util.List;

/**
 * Turns routing events into decisions. Holds the routing state of one daemon; its methods are
 * called only on the thread that owns this state.
 */
public interface RoutingDecider {
    /**
     * Applies one event.
     *
     * @param event the event
     * @param now the current time; never earlier than at a previous event
     * @return the decisions, to be executed in this order
     */
    List<RoutingDecision> decide(RoutingEvent event, Instant now);
}
