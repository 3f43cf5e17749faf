package org.oleanderspring.coordination.dispatch;

/** The state of a recorded call. */
public enum RecordState {
    /** The call may have started; its outcome is not recorded. */
    DISPATCHED,
    /** The call ran to completion. */
    RAN,
    /** The call certainly did not run. */
    NOT_RUN
}
