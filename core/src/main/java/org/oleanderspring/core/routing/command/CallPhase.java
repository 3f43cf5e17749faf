package org.oleanderspring.core.routing.command;

/** How far an open call has come. */
enum CallPhase {
    /** It waits for the result of its claim; no attempt was started. */
    CLAIMING,
    /** It waits for a replica. */
    WAITING,
    /** One attempt is running. */
    RUNNING
}
