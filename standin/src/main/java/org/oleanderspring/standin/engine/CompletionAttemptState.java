package org.oleanderspring.standin.engine;

/** How far an attempt is. */
public enum CompletionAttemptState {
    /** Waits inside the engine. */
    WAITING,
    /** Produces tokens. */
    RUNNING,
    /** All tokens were produced. */
    COMPLETED,
    /** Stopped by the sender. */
    CANCELLED,
    /** Stopped because its model was unloaded. */
    CUT
}
