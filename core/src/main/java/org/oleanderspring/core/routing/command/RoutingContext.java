package org.oleanderspring.core.routing.command;

import java.time.Instant;
import java.util.List;

/**
 * The context of handling one event.
 *
 * @param now the current time
 * @param decisions the decisions made so far; appended to while the event is handled
 */
record RoutingContext(Instant now, List<RoutingDecision> decisions) {
    void add(RoutingDecision decision) {
        decisions.add(decision);
    }
}
