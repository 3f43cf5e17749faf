package org.oleanderspring.core.routing;

/** Whether the work of a refused call was done. */
public enum WorkState {
    /** The work did not happen and will not happen. */
    NOT_RUN,
    /** The work happened. */
    RAN,
    /** The work may have happened. */
    UNKNOWN
}
