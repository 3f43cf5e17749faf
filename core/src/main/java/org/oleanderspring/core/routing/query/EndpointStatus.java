package org.oleanderspring.core.routing.query;

import java.util.Objects;
import org.jspecify.annotations.Nullable;
import org.oleanderspring.core.fleet.EndpointId;
import org.oleanderspring.core.fleet.RateLimit;
import org.oleanderspring.core.routing.IntakeState;

/**
 * The load of one endpoint.
 *
 * @param endpoint the endpoint
 * @param running the number of attempts of this daemon that run there
 * @param load {@code running} plus the last reported calls of other daemons
 * @param intake how the endpoint takes new calls
 * @param limit the rate of calls that it takes from all daemons, or null if it has named none
 */
public record EndpointStatus(
        EndpointId endpoint, int running, int load, IntakeState intake, @Nullable RateLimit limit) {
    /** Rejects null components, except for the limit. */
    public EndpointStatus {
        Objects.requireNonNull(endpoint, "endpoint");
        Objects.requireNonNull(intake, "intake");
    }
}
