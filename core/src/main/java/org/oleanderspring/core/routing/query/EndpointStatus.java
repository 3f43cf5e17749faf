package org.oleanderspring.core.routing.query;

import java.util.Objects;
import org.oleanderspring.core.fleet.EndpointId;

/**
 * The load of one endpoint.
 *
 * @param endpoint the endpoint
 * @param running how many attempts of this daemon run there
 * @param load the running attempts and the calls of other daemons as they were last seen
 * @param draining whether it takes no new work
 * @param backingOff whether it failed lately and gets no or one trial call
 */
public record EndpointStatus(
        EndpointId endpoint, int running, int load, boolean draining, boolean backingOff) {
    /** Checks for a missing identity. */
    public EndpointStatus {
        Objects.requireNonNull(endpoint, "endpoint");
    }
}
