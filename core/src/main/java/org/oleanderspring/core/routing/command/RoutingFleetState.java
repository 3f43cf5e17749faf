package org.oleanderspring.core.routing.command;

import java.time.Duration;
import java.time.Instant;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.oleanderspring.core.fleet.EndpointId;
import org.oleanderspring.core.routing.Replica;
import org.oleanderspring.core.routing.RoutingTable;
import org.oleanderspring.core.routing.Target;

/** The targets and endpoints that routing knows. */
final class RoutingFleetState {
    /**
     * How long a draining endpoint is remembered after the last table that listed it. The VM list
     * lags, so a later table may list the endpoint once more.
     */
    static final Duration DRAINING_RETENTION = Duration.ofMinutes(10);

    private final Map<Target, TargetState> mTargets = new HashMap<>();
    private final Map<EndpointId, EndpointState> mEndpoints = new HashMap<>();
    private final Set<EndpointState> mDraining = new LinkedHashSet<>();
    private RoutingTable mTable = RoutingTable.EMPTY;

    void apply(RoutingTable table, Instant now) {
        mTable = table;
        for (Map.Entry<Target, List<Replica>> entry : table.replicas().entrySet()) {
            target(entry.getKey()).relist(entry.getValue(), id -> endpoint(id, now), now);
        }
        for (TargetState state : mTargets.values()) {
            if (!table.replicas().containsKey(state.target())) {
                state.relist(List.of(), id -> endpoint(id, now), now);
            }
            if (!isKnown(state.target())) {
                state.forgetLoading();
            }
        }
        mTargets.values().removeIf(state -> !isKnown(state.target()) && state.isUnused());
        mEndpoints.values().removeIf(state -> state.isUnused() && !state.isDraining());
    }

    boolean isKnown(Target target) {
        return mTable.knownTargets().contains(target);
    }

    TargetState target(Target target) {
        return mTargets.computeIfAbsent(target, TargetState::new);
    }

    void estimated(Target target, Instant readyAt, Instant now) {
        if (isKnown(target)) {
            target(target).estimated(readyAt, now);
        }
    }

    Collection<TargetState> targets() {
        return mTargets.values();
    }

    Collection<EndpointState> endpoints() {
        return mEndpoints.values();
    }

    void loadSeen(EndpointId id, int callsOfOthers, Instant seenAt) {
        EndpointState state = mEndpoints.get(id);
        if (state != null) {
            state.loadSeen(callsOfOthers, seenAt);
        }
    }

    /** Drops an endpoint from all choices; its running attempts go on. */
    void drain(EndpointId id, Instant now) {
        EndpointState state = endpoint(id, now);
        if (state.isDraining()) {
            return;
        }
        state.drain();
        mDraining.add(state);
        state.listedBy().forEach(TargetState::recount);
    }

    /** Forgets draining endpoints that no table has listed for long. */
    void forgetDrained(Instant now) {
        mDraining.removeIf(state -> forgetDrained(state, now));
    }

    private boolean forgetDrained(EndpointState state, Instant now) {
        boolean forget =
                state.isUnused() && state.lastListed().plus(DRAINING_RETENTION).isBefore(now);
        if (forget) {
            mEndpoints.remove(state.id());
        }
        return forget;
    }

    private EndpointState endpoint(EndpointId id, Instant now) {
        return mEndpoints.computeIfAbsent(id, key -> new EndpointState(key, now));
    }
}
