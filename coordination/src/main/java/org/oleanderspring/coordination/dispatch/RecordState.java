package org.oleanderspring.coordination.dispatch;

/** How far a recorded call has come. */
public enum RecordState {
    /** The call may have started; its end was not recorded. */
    DISPATCHED,
    /** The call ran to its end. */
    RAN,
    /** The call provably did not run. */
    NOT_RUN
}
