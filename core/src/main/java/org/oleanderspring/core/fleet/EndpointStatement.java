package org.oleanderspring.core.fleet;

/**
 * What an endpoint says about itself in the head of a response.
 *
 * @param leaving whether it is about to shut down
 */
public record EndpointStatement(boolean leaving) {
    /** The statement of an endpoint that says nothing. */
    public static final EndpointStatement NONE = new EndpointStatement(false);
}
