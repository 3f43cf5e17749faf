package org.oleanderspring.core.routing;

import java.util.Objects;
import org.oleanderspring.core.fleet.EndpointId;

/**
 * One place that can serve a target.
 *
 * @param endpoint the endpoint
 * @param state whether it may receive calls
 * @param concurrency how many calls this daemon may have there at a time
 */
public record Replica(EndpointId endpoint, ReplicaState state, int concurrency) {
    /** Checks the range. */
    public Replica {
        Objects.requireNonNull(endpoint, "endpoint");
        Objects.requireNonNull(state, "state");
        if (concurrency < 1) {
            throw new IllegalArgumentException("concurrency is not positive: " + concurrency);
        }
    }
}
