package org.oleanderspring.core.fleet;

import java.util.Objects;

/**
 * What an endpoint says about itself in the head of a response.
 *
 * @param leaving whether it is about to shut down
 * @param limit the rate of calls that it takes
 */
public record EndpointStatement(boolean leaving, StatedLimit limit) {
    /** The statement of an endpoint that says nothing. */
    public static final EndpointStatement NONE =
            new EndpointStatement(false, new StatedLimit.Unlimited());

    /** The statement of an endpoint that is about to shut down and names no limit. */
    public static final EndpointStatement LEAVING =
            new EndpointStatement(true, new StatedLimit.Unlimited());

    /** Rejects a null limit. */
    public EndpointStatement {
        Objects.requireNonNull(limit, "limit");
    }
}
