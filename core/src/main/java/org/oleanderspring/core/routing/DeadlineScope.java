package org.oleanderspring.core.routing;

/** Which part of an answer a deadline bounds. */
public enum DeadlineScope {
    /** The answer must have begun. */
    FIRST_BYTE,
    /** The answer must have ended. */
    FULL_RESPONSE
}
