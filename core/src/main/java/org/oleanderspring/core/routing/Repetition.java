package org.oleanderspring.core.routing;

/** How often the work of a call may be done. */
public enum Repetition {
    /** At most once: another attempt needs proof that the one before did not run. */
    AT_MOST_ONCE,
    /** Again, as long as no part of an answer was passed on. */
    REPEATABLE,
    /** Again at any time: the next attempt goes on after the last part that was passed on. */
    RESUMABLE
}
