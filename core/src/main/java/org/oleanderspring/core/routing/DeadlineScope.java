package org.oleanderspring.core.routing;

/** The part of a response that a deadline bounds. */
public enum DeadlineScope {
    /** The first byte of the response must have arrived by the deadline. */
    FIRST_BYTE,
    /** The complete response must have arrived by the deadline. */
    FULL_RESPONSE
}
