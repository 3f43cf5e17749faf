package org.oleanderspring.core.placement;

import java.time.Duration;
import java.util.Objects;

/**
 * Bounds for the keep-alive time, which is how long an idle replica stays loaded.
 *
 * @param shortest the lower bound of the keep-alive time
 * @param longest the upper bound of the keep-alive time
 * @param idleCostWeight the weight of idle accelerator time against cold-start latency, in percent;
 *     0 minimizes latency only, 100 minimizes idle time only
 */
public record KeepAliveLimits(Duration shortest, Duration longest, int idleCostWeight) {
    /** Rejects a negative bound, descending bounds and a weight outside 0 to 100. */
    public KeepAliveLimits {
        Objects.requireNonNull(shortest, "shortest");
        Objects.requireNonNull(longest, "longest");
        if (shortest.isNegative() || longest.compareTo(shortest) < 0) {
            throw new IllegalArgumentException(
                    "keep-alive bounds must be at least 0 and in ascending order: "
                            + shortest
                            + " to "
                            + longest);
        }
        if (idleCostWeight < 0 || idleCostWeight > 100) {
            throw new IllegalArgumentException(
                    "idle cost weight must be 0 to 100 percent: " + idleCostWeight);
        }
    }
}
