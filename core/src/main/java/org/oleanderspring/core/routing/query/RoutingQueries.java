package org.oleanderspring.core.routing.query;

import java.time.Instant;

/** Reads the routing state; answered on the thread that owns it. */
public interface RoutingQueries {
    /**
     * Returns a copy of what routing does now, without changing it.
     *
     * @param now the current time
     */
    RoutingSnapshot snapshot(Instant now);
}
