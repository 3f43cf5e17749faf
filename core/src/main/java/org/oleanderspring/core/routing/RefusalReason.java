package org.oleanderspring.core.routing;

/** Why a call is refused. */
public enum RefusalReason {
    /** No checkpoint or service of that name is known. */
    UNKNOWN_TARGET,
    /** The queue of the model is full. */
    QUEUE_FULL,
    /** The call could not have been served before its deadline. */
    DEADLINE_TOO_SHORT,
    /** The deadline passed while the call waited. */
    DEADLINE_PASSED,
    /** The daemon is shutting down. */
    DRAINING,
    /** The daemon has no settings, or they may be out of date. */
    NO_AUTHORITY,
    /** The dispatch record could not be written. */
    RECORD_UNAVAILABLE,
    /** An earlier call with the same idempotency key exists. */
    DUPLICATE_KEY,
    /** The last allowed attempt failed. */
    ATTEMPTS_EXHAUSTED,
    /** The ring of the routing duty is full. */
    OVERLOADED
}
