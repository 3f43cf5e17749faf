package org.oleanderspring.core.routing.query;

import java.util.Objects;
import org.oleanderspring.core.fleet.EndpointId;

/**
 * The load of one endpoint.
 *
 * @param endpoint the endpoint
 * @param running the number of attempts of this daemon that run there
 * @param load {@code running} plus the last reported calls of other daemons
 * @param draining whether the endpoint accepts no new work
 * @param backingOff whether the endpoint failed and receives no calls, or a single trial call
 */
public record EndpointStatus(
        EndpointId endpoint, int running, int load, boolean draining, boolean backingOff) {
    /** Rejects a null endpoint. */
    public EndpointStatus {
        Objects.requireNonNull(endpoint, "endpoint");
    }
}
