package org.oleanderspring.core.routing.query;

import java.time.Instant;

/** Read access to the routing state. Called only on the thread that owns it. */
public interface RoutingQueries {
    /**
     * Returns a copy of the routing state; changes nothing.
     *
     * @param now the current time
     */
    RoutingSnapshot snapshot(Instant now);

    /** Returns a copy of the counters. */
    RoutingCounters counters();
}
