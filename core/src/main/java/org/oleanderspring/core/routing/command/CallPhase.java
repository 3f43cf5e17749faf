package org.oleanderspring.core.routing.command;

/** The phase of an open call. */
enum CallPhase {
    /** The call waits for the result of its dispatch record claim; no attempt was started. */
    CLAIMING,
    /** The call waits for a replica. */
    WAITING,
    /** One attempt of the call is running. */
    RUNNING
}
