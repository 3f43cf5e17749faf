package org.oleanderspring.core.routing;

/** The conditions under which the work of a call may be repeated. */
public enum Repetition {
    /**
     * The work runs at most once: another attempt requires proof that the previous one did not run.
     */
    AT_MOST_ONCE,
    /** The work may be repeated as long as no part of a response was passed on. */
    REPEATABLE,
    /**
     * The work may be repeated at any time: the next attempt resumes the response after the last
     * part that was passed on.
     */
    RESUMABLE
}
