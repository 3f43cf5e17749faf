package org.oleanderspring.core.placement;

import java.time.Duration;
import java.util.Objects;

/**
 * How long idle replicas stay loaded.
 *
 * @param shortest the shortest keep-alive
 * @param longest the longest keep-alive
 * @param idleCostWeight the weight of idle accelerator hours against cold-start latency, in
 *     percent; 0 counts latency only, 100 counts idle hours only
 */
public record KeepAliveLimits(Duration shortest, Duration longest, int idleCostWeight) {
    /** Checks the ranges. */
    public KeepAliveLimits {
        Objects.requireNonNull(shortest, "shortest");
        Objects.requireNonNull(longest, "longest");
        if (shortest.isNegative() || longest.compareTo(shortest) < 0) {
            throw new IllegalArgumentException("keep-alive is out of range");
        }
        if (idleCostWeight < 0 || idleCostWeight > 100) {
            throw new IllegalArgumentException("idle cost weight is not a percentage");
        }
    }
}
