package org.oleanderspring.core.fleet;

import java.util.Objects;

/**
 * What an endpoint says about itself in the head of a response.
 *
 * @param leaving whether it is about to shut down
 * @param limit the rate of calls that it takes
 * @param pause for how long it wants no calls of the daemon to which it says so
 */
public record EndpointStatement(boolean leaving, StatedLimit limit, StatedPause pause) {
    /** The statement of an endpoint that says nothing. */
    public static final EndpointStatement NONE =
            new EndpointStatement(false, new StatedLimit.Unlimited());

    /** The statement of an endpoint that is about to shut down and names no limit. */
    public static final EndpointStatement LEAVING =
            new EndpointStatement(true, new StatedLimit.Unlimited());

    /** Rejects null components. */
    public EndpointStatement {
        Objects.requireNonNull(limit, "limit");
        Objects.requireNonNull(pause, "pause");
    }

    /**
     * Creates the statement of an endpoint that names no pause.
     *
     * @param leaving whether it is about to shut down
     * @param limit the rate of calls that it takes
     */
    public EndpointStatement(boolean leaving, StatedLimit limit) {
        this(leaving, limit, new StatedPause.None());
    }
}
