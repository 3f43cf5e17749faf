package org.oleanderspring.core.routing.query;

import java.util.Map;
import org.oleanderspring.core.routing.RefusalReason;

/**
 * What routing did since the start of the daemon.
 *
 * @param arrived calls that arrived
 * @param firstAttempts calls that were started
 * @param retries further attempts
 * @param finished calls that got their whole answer
 * @param callersLeft calls whose caller left first
 * @param refused refused calls by reason
 * @param wakes wake requests
 * @param lateEvents events of calls or attempts that were no longer current
 */
public record RoutingCounters(
        long arrived,
        long firstAttempts,
        long retries,
        long finished,
        long callersLeft,
        Map<RefusalReason, Long> refused,
        long wakes,
        long lateEvents) {
    /** Copies the map. */
    public RoutingCounters {
        refused = Map.copyOf(refused);
    }

    /**
     * Returns how many calls were refused for a reason.
     *
     * @param reason the reason
     */
    public long refusedFor(RefusalReason reason) {
        return refused.getOrDefault(reason, 0L);
    }
}
