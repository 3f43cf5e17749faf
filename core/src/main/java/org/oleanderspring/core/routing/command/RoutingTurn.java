package org.oleanderspring.core.routing.command;

import java.time.Instant;
import java.util.List;

/**
 * The handling of one event.
 *
 * @param now the current time
 * @param decisions the decisions so far; grows while the event is handled
 */
record RoutingTurn(Instant now, List<RoutingDecision> decisions) {
    /** Appends a decision. */
    void add(RoutingDecision decision) {
        decisions.add(decision);
    }
}
