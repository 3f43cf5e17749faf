package org.oleanderspring.core.routing;

import java.util.Objects;
import org.jspecify.annotations.Nullable;
import org.oleanderspring.core.fleet.EndpointId;
import org.oleanderspring.core.fleet.FailureDomain;

/**
 * An endpoint that can serve a target.
 *
 * @param endpoint the endpoint
 * @param state whether the replica accepts calls
 * @param concurrency the maximum number of calls of the target that this daemon may run there at a
 *     time; calls of other targets at the same endpoint do not count
 * @param tokenCapacity the number of tokens of all calls together that fit into the memory of the
 *     endpoint; 0 if it is not known
 * @param failureDomain the failure domain of the endpoint, or null if it is not known
 */
public record Replica(
        EndpointId endpoint,
        ReplicaState state,
        int concurrency,
        long tokenCapacity,
        @Nullable FailureDomain failureDomain) {
    /** Rejects a concurrency below 1 and a negative token capacity. */
    public Replica {
        Objects.requireNonNull(endpoint, "endpoint");
        Objects.requireNonNull(state, "state");
        if (concurrency < 1) {
            throw new IllegalArgumentException("concurrency is not positive: " + concurrency);
        }
        if (tokenCapacity < 0) {
            throw new IllegalArgumentException("token capacity is negative: " + tokenCapacity);
        }
    }

    /**
     * Creates a replica whose memory and failure domain are not known.
     *
     * @param endpoint the endpoint
     * @param state whether the replica accepts calls
     * @param concurrency the maximum number of calls that this daemon may run there at a time
     */
    public Replica(EndpointId endpoint, ReplicaState state, int concurrency) {
        this(endpoint, state, concurrency, 0, null);
    }
}
