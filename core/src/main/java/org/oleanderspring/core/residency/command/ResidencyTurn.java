package org.oleanderspring.core.residency.command;

import java.time.Instant;
import java.util.List;

/**
 * The handling of one event.
 *
 * @param now the time of the event
 * @param decisions the decisions so far
 */
record ResidencyTurn(Instant now, List<ResidencyDecision> decisions) {
    void add(ResidencyDecision decision) {
        decisions.add(decision);
    }
}
