package org.oleanderspring.bench.query;

import java.util.Objects;

/**
 * The cost of one placement decision for one kind of event.
 *
 * @param event the name of the kind of event
 * @param medianMicros the median elapsed time of a decision, in microseconds
 * @param bytesPerDecision the mean of the bytes allocated for a decision
 */
public record PlacementCost(String event, double medianMicros, double bytesPerDecision) {
    /** Rejects a null event name. */
    public PlacementCost {
        Objects.requireNonNull(event, "event");
    }
}
