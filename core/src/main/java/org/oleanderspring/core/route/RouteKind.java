package org.oleanderspring.core.route;

/** How the requests of a route may be repeated. */
public enum RouteKind {
    /** A request may run more than once. */
    IDEMPOTENT,
    /** A request may run at most once. */
    NON_IDEMPOTENT,
    /**
     * The response is a stream of events. {@link Route#resumable()} determines whether it may be
     * resumed.
     */
    STREAMING
}
