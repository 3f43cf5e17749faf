package org.oleanderspring.peer;

/** Why an endpoint gets no new work. */
public enum EndpointCondition {
    /** It finishes its calls and stops. */
    DRAINING,
    /** It does not reply. */
    GONE
}
