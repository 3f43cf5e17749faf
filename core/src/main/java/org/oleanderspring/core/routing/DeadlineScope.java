package org.oleanderspring.core.routing;

/** Which part of an answer a deadline bounds. */
public enum DeadlineScope {
    /** The answer must have begun. */
    BEGINNING,
    /** The answer must have ended. */
    WHOLE_ANSWER
}
