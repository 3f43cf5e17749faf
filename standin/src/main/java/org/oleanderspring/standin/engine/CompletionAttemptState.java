package org.oleanderspring.standin.engine;

/** State of a {@link CompletionAttempt}. */
public enum CompletionAttemptState {
    /** Waiting in the engine until the concurrency limit admits it. */
    WAITING,
    /** Producing tokens. */
    RUNNING,
    /** Ended after the last token. */
    COMPLETED,
    /** Cancelled by a request of the client. */
    CANCELLED,
    /** Aborted because its model or adapter was unloaded, before or after the attempt started. */
    CUT
}
