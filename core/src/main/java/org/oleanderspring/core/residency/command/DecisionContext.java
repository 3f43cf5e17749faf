package org.oleanderspring.core.residency.command;

import java.time.Instant;
import java.util.List;

/**
 * The context in which one event is processed.
 *
 * @param now the time of the event
 * @param decisions the decisions made so far
 */
record DecisionContext(Instant now, List<ResidencyDecision> decisions) {
    void add(ResidencyDecision decision) {
        decisions.add(decision);
    }
}
