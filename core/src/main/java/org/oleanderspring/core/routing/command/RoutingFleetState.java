package org.oleanderspring.core.routing.command;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.oleanderspring.core.fleet.EndpointId;
import org.oleanderspring.core.fleet.EndpointStatement;
import org.oleanderspring.core.fleet.ServiceName;
import org.oleanderspring.core.fleet.StatedPause;
import org.oleanderspring.core.load.EndpointLoad;
import org.oleanderspring.core.load.EndpointUse;
import org.oleanderspring.core.permit.PermitGrant;
import org.oleanderspring.core.routing.Replica;
import org.oleanderspring.core.routing.RoutingTable;
import org.oleanderspring.core.routing.Target;

/** The targets and endpoints known to routing. */
final class RoutingFleetState {
    /**
     * How long a draining endpoint is kept after the last routing table that listed it. The VM list
     * lags behind, so a later table may list the endpoint again.
     */
    static final Duration DRAINING_RETENTION = Duration.ofMinutes(10);

    private final Map<Target, TargetState> mTargets = new HashMap<>();
    private final Map<EndpointId, EndpointState> mEndpoints = new HashMap<>();
    private final Set<EndpointState> mDraining = new LinkedHashSet<>();
    private final Map<ServiceName, UrgencyLevels> mUrgencyLevels = new HashMap<>();
    private RoutingTable mTable = RoutingTable.EMPTY;

    /**
     * Replaces the routing table. Targets that are not in it lose their replicas. Afterwards
     * unknown targets without open calls and running attempts are removed, and so are endpoints
     * without a replica and running attempts, unless they are draining.
     */
    void apply(RoutingTable table, Instant now) {
        mTable = table;
        for (Map.Entry<Target, List<Replica>> entry : table.replicas().entrySet()) {
            target(entry.getKey()).updateReplicas(entry.getValue(), id -> endpoint(id, now), now);
        }
        for (TargetState state : mTargets.values()) {
            if (!table.replicas().containsKey(state.target())) {
                state.updateReplicas(List.of(), id -> endpoint(id, now), now);
            }
            if (!isKnown(state.target())) {
                state.resetActivation();
            }
        }
        mTargets.values().removeIf(state -> !isKnown(state.target()) && state.isUnused());
        removeUnusedEndpoints();
    }

    private void removeUnusedEndpoints() {
        mEndpoints.values().removeIf(state -> state.isUnused() && !state.intake().isLeaving());
    }

    /**
     * Replaces the replicas of some targets. Afterwards endpoints without a replica and running
     * attempts are removed, unless they are draining.
     *
     * @return the states of these targets
     */
    List<TargetState> apply(Map<Target, List<Replica>> replicas, Instant now) {
        List<TargetState> changed = new ArrayList<>();
        replicas.forEach(
                (target, list) -> {
                    TargetState state = target(target);
                    state.updateReplicas(list, id -> endpoint(id, now), now);
                    changed.add(state);
                });
        removeUnusedEndpoints();
        return changed;
    }

    boolean isKnown(Target target) {
        return mTable.knownTargets().contains(target);
    }

    TargetState target(Target target) {
        return mTargets.computeIfAbsent(target, key -> new TargetState(key, urgencyLevels(key)));
    }

    /** The calls of a service compete for its endpoints, whichever model they are for. */
    private UrgencyLevels urgencyLevels(Target target) {
        ServiceName service = null;
        if (target instanceof Target.ServiceModelTarget model) {
            service = model.service();
        } else if (target instanceof Target.ServiceTarget plain) {
            service = plain.service();
        }
        return service == null
                ? new UrgencyLevels()
                : mUrgencyLevels.computeIfAbsent(service, name -> new UrgencyLevels());
    }

    void readinessEstimated(Target target, Instant readyAt, Instant now) {
        if (isKnown(target)) {
            target(target).readinessEstimated(readyAt, now);
        }
    }

    Collection<TargetState> targets() {
        return mTargets.values();
    }

    Collection<EndpointState> endpoints() {
        return mEndpoints.values();
    }

    void updateLoad(EndpointId id, int callsOfOtherDaemons, Instant observedAt) {
        EndpointState state = mEndpoints.get(id);
        if (state != null) {
            state.updateLoad(callsOfOtherDaemons, observedAt);
        }
    }

    void loadsReported(List<EndpointLoad> loads, Instant now) {
        for (EndpointLoad load : loads) {
            EndpointState state = mEndpoints.get(load.endpoint());
            if (state != null) {
                state.loadReported(load, now);
            }
            if (load.statement().leaving()) {
                drain(load.endpoint(), now);
            }
        }
    }

    /** Returns the use of all endpoints since the last call. */
    List<EndpointUse> takeUses(Instant now) {
        List<EndpointUse> uses = new ArrayList<>();
        for (EndpointState state : mEndpoints.values()) {
            EndpointUse use = state.takeUse(now);
            if (use != null) {
                uses.add(use);
            }
        }
        return uses;
    }

    /**
     * Applies what an endpoint said about itself to this daemon.
     *
     * @return the targets of an endpoint that wants no calls for a time
     */
    List<TargetState> stated(EndpointId id, EndpointStatement statement, Instant now) {
        EndpointState known = mEndpoints.get(id);
        if (known != null) {
            known.intake().permits().stated(statement.limit(), now);
            if (statement.pause() instanceof StatedPause.Paused paused) {
                known.intake().pause(paused.time(), now);
            }
        }
        if (statement.leaving()) {
            endpoint(id, now).statedLeaving();
            drain(id, now);
        }
        boolean isPaused = statement.pause() instanceof StatedPause.Paused;
        return known == null || !isPaused ? List.of() : List.copyOf(known.targets());
    }

    /**
     * Applies permits for calls to an endpoint.
     *
     * @return the targets of the endpoint
     */
    List<TargetState> permitsGranted(PermitGrant grant, Instant now) {
        EndpointState state = mEndpoints.get(grant.endpoint());
        if (state == null) {
            return List.of();
        }
        state.intake().permits().granted(grant, now);
        return List.copyOf(state.targets());
    }

    /** Excludes an endpoint from all selections. Its running attempts continue. */
    void drain(EndpointId id, Instant now) {
        EndpointState state = endpoint(id, now);
        if (state.intake().isLeaving()) {
            return;
        }
        state.intake().leave();
        mDraining.add(state);
        state.targets().forEach(TargetState::recalculateCapacity);
    }

    /**
     * Removes unused draining endpoints that no routing table has listed for {@link
     * #DRAINING_RETENTION}.
     */
    void removeExpiredDraining(Instant now) {
        mDraining.removeIf(state -> removeIfExpired(state, now));
    }

    private boolean removeIfExpired(EndpointState state, Instant now) {
        boolean expired =
                state.isUnused() && state.lastListed().plus(DRAINING_RETENTION).isBefore(now);
        if (expired) {
            mEndpoints.remove(state.id());
        }
        return expired;
    }

    private EndpointState endpoint(EndpointId id, Instant now) {
        return mEndpoints.computeIfAbsent(id, key -> new EndpointState(key, now));
    }
}
