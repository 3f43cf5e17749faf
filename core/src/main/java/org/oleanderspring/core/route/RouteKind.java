package org.oleanderspring.core.route;

/** What may be done with the requests of a route. */
public enum RouteKind {
    /** They may run more than once. */
    IDEMPOTENT,
    /** They may run once at most. */
    NON_IDEMPOTENT,
    /** Their answers are streams of events; whether they may be resumed is said by the route. */
    STREAMING
}
