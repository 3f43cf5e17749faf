package org.oleanderspring.core.load;

import java.util.Objects;
import org.oleanderspring.core.fleet.EndpointId;
import org.oleanderspring.core.fleet.EndpointStatement;

/**
 * The calls of one daemon at one endpoint.
 *
 * @param endpoint the endpoint
 * @param running the number of calls that run now
 * @param answered the number of calls whose response began since the previous report
 * @param slowness the average, over these calls, of the time to the first byte divided by the usual
 *     one of the service at this daemon; 1 if no response began
 * @param statement what the endpoint has said about itself
 */
public record EndpointUse(
        EndpointId endpoint,
        int running,
        int answered,
        double slowness,
        EndpointStatement statement) {
    /** Rejects negative counts and a slowness that is not a positive number. */
    public EndpointUse {
        Objects.requireNonNull(endpoint, "endpoint");
        Objects.requireNonNull(statement, "statement");
        if (running < 0 || answered < 0) {
            throw new IllegalArgumentException(
                    "negative number of calls: running " + running + ", answered " + answered);
        }
        if (!(slowness > 0) || Double.isInfinite(slowness)) {
            throw new IllegalArgumentException("slowness is not positive: " + slowness);
        }
    }
}
