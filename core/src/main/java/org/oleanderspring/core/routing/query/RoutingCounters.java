package org.oleanderspring.core.routing.query;

import java.util.Map;
import org.oleanderspring.core.routing.RefusalReason;

/**
 * Counters of routing since the start of the daemon.
 *
 * @param arrived calls that arrived
 * @param firstAttempts first attempts of calls
 * @param retries attempts after the first
 * @param finished calls whose complete response was passed on
 * @param callersDisconnected calls whose caller disconnected before the end
 * @param refused refused calls by reason
 * @param refusedServable calls that an estimate refused at their arrival, although a later call
 *     that was not more urgent started in time for them
 * @param activationRequests requests to activate a model, sent while calls for it wait
 * @param lateEvents events that changed nothing, because they were repeated, or because their call
 *     had ended or their attempt was not running
 */
public record RoutingCounters(
        long arrived,
        long firstAttempts,
        long retries,
        long finished,
        long callersDisconnected,
        Map<RefusalReason, Long> refused,
        long refusedServable,
        long activationRequests,
        long lateEvents) {
    /** Copies the map. */
    public RoutingCounters {
        refused = Map.copyOf(refused);
    }

    /**
     * Returns the number of calls that were refused for a reason.
     *
     * @param reason the reason
     */
    public long refusedFor(RefusalReason reason) {
        return refused.getOrDefault(reason, 0L);
    }
}
