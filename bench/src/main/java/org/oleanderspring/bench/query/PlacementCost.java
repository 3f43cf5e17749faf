package org.oleanderspring.bench.query;

import java.util.Objects;

/**
 * What one kind of event costs placement.
 *
 * @param event the kind of event
 * @param micros the median time of a decision
 * @param bytes bytes allocated for a decision, on average
 */
public record PlacementCost(String event, double micros, double bytes) {
    /** Checks for a missing kind. */
    public PlacementCost {
        Objects.requireNonNull(event, "event");
    }
}
