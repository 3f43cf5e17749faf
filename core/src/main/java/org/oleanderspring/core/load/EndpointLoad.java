package org.oleanderspring.core.load;

import java.util.Objects;
import org.oleanderspring.core.fleet.EndpointId;
import org.oleanderspring.core.fleet.EndpointStatement;

/**
 * The calls of all daemons at one endpoint.
 *
 * @param endpoint the endpoint
 * @param running the number of running calls
 * @param slowness the time to the first byte divided by the usual one of the service; 1 if unknown
 * @param statement what the endpoint has said about itself to any daemon
 */
public record EndpointLoad(
        EndpointId endpoint, int running, double slowness, EndpointStatement statement) {
    /** Rejects a negative count and a slowness that is not a positive number. */
    public EndpointLoad {
        Objects.requireNonNull(endpoint, "endpoint");
        Objects.requireNonNull(statement, "statement");
        if (running < 0) {
            throw new IllegalArgumentException("negative number of calls: " + running);
        }
        if (!(slowness > 0) || Double.isInfinite(slowness)) {
            throw new IllegalArgumentException("slowness is not positive: " + slowness);
        }
    }
}
