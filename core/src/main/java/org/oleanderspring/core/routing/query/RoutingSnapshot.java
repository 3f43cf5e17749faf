package org.oleanderspring.core.routing.query;

import java.time.Instant;
import java.util.List;
import java.util.Objects;

/**
 * The routing state at one time.
 *
 * @param at the time of the snapshot
 * @param mayDecide whether the settings are recent enough to accept new calls
 * @param drainStarted whether the daemon is shutting down and accepts no new calls
 * @param openCalls the number of calls that have not ended
 * @param trackedTargets the number of targets for which routing keeps state
 * @param trackedEndpoints the number of endpoints for which routing keeps state
 * @param retriesLeft the number of retries left in the retry budget of the daemon
 * @param targets the targets with open calls, sorted by name
 * @param endpoints the endpoints that run calls or do not take them as usual, sorted by identity
 * @param counters the counters since the start of the daemon
 */
public record RoutingSnapshot(
        Instant at,
        boolean mayDecide,
        boolean drainStarted,
        int openCalls,
        int trackedTargets,
        int trackedEndpoints,
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
