package org.oleanderspring.core.routing;

import java.util.Objects;
import org.oleanderspring.core.fleet.EndpointId;

/**
 * An endpoint that can serve a target.
 *
 * @param endpoint the endpoint
 * @param state whether the replica accepts calls
 * @param concurrency the maximum number of calls of the target that this daemon may run there at a
 *     time; calls of other targets at the same endpoint do not count
 */
public record Replica(EndpointId endpoint, ReplicaState state, int concurrency) {
    /** Rejects a concurrency below 1. */
    public Replica {
        Objects.requireNonNull(endpoint, "endpoint");
        Objects.requireNonNull(state, "state");
        if (concurrency < 1) {
            throw new IllegalArgumentException("concurrency is not positive: " + concurrency);
        }
    }
}
