package org.oleanderspring.peer;

/** Reason why an endpoint must not be given new work. */
public enum EndpointCondition {
    /** The endpoint completes its running calls and then stops. */
    DRAINING,
    /** The endpoint does not respond. */
    GONE
}
