package org.oleanderspring.core.routing.query;

import java.time.Instant;
import java.util.List;
import java.util.Objects;

/**
 * What routing does at one moment.
 *
 * @param at the moment
 * @param mayDecide whether new calls are accepted by the settings
 * @param drainStarted whether the daemon takes no new calls because it stops
 * @param openCalls how many calls have not ended
 * @param retriesLeft how many retries the daemon's budget holds
 * @param targets the targets that have open calls, by name
 * @param endpoints the endpoints that run calls, drain or are in back-off, by identity
 * @param counters what happened since the start
 */
public record RoutingSnapshot(
        Instant at,
        boolean mayDecide,
        boolean drainStarted,
        int openCalls,
        int retriesLeft,
        List<TargetStatus> targets,
        List<EndpointStatus> endpoints,
        RoutingCounters counters) {
    /** Copies the lists. */
    public RoutingSnapshot {
        Objects.requireNonNull(at, "at");
        targets = List.copyOf(targets);
        endpoints = List.copyOf(endpoints);
        Objects.requireNonNull(counters, "counters");
    }
}
