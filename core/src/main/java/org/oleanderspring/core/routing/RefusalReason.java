package org.oleanderspring.core.routing;

/** The reason why a call is refused. */
public enum RefusalReason {
    /** No checkpoint or service with the requested name is known. */
    UNKNOWN_TARGET,
    /** The queue of the target is full. */
    QUEUE_FULL,
    /** According to the estimate the call cannot be served before its deadline. */
    DEADLINE_TOO_SHORT,
    /** The call has more tokens than fit into the memory of the endpoints. */
    TOO_MANY_TOKENS,
    /**
     * The call has waited for most of its time, and it is not known when a replica will take it.
     */
    NOT_TAKEN,
    /**
     * All endpoints of the target limit the rate of their calls, and the call cannot be served
     * within these limits before its deadline.
     */
    RATE_LIMITED,
    /**
     * The deadline passed before the response began, or before it ended if the deadline bounds the
     * complete response.
     */
    DEADLINE_PASSED,
    /** The prompt matches a pattern that crashes runners, which a trial has confirmed. */
    QUARANTINED,
    /** The prompt matches a pattern under which several runners crashed; a trial will show why. */
    SUSPECTED,
    /** The caller's API key is no longer valid. */
    KEY_REJECTED,
    /** The caller's API key belongs to another organisation than when the call arrived. */
    KEYS_UNVERIFIED,
    /** The daemon is shutting down. */
    DRAINING,
    /** The daemon has no settings, or its settings may be out of date. */
    NO_AUTHORITY,
    /** The dispatch record could not be written. */
    RECORD_UNAVAILABLE,
    /** An earlier call used the same idempotency key. */
    DUPLICATE_KEY,
    /**
     * The last attempt failed, and the attempt limit, the retry budget or the retry policy permits
     * no further one.
     */
    ATTEMPTS_EXHAUSTED,
    /**
     * The daemon cannot take the call now: the ring buffer of the routing thread is full, or the
     * overload policy refuses calls while all ready replicas are busy.
     */
    OVERLOADED
}
