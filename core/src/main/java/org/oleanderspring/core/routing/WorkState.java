package org.oleanderspring.core.routing;

/** Whether the work of a refused call ran. */
public enum WorkState {
    /** The work did not run and will not run. */
    NOT_RUN,
    /** The work ran. */
    RAN,
    /** The work may have run. */
    UNKNOWN
}
