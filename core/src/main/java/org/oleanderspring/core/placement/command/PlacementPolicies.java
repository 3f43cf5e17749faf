package org.oleanderspring.core.placement.command;

import java.util.Objects;

/**
 * The parts of placement that vary.
 *
 * @param keepAlive how long idle replicas stay loaded
 * @param loadOrder which load starts first
 * @param runners which runner loads
 * @param eviction which idle slots make room
 * @param wakes how many replicas a wake asks for
 */
public record PlacementPolicies(
        KeepAlivePolicy keepAlive,
        LoadOrderPolicy loadOrder,
        RunnerSelector runners,
        EvictionPolicy eviction,
        ActivationReplicaPolicy wakes) {
    /** Checks for missing parts. */
    public PlacementPolicies {
        Objects.requireNonNull(keepAlive, "keepAlive");
        Objects.requireNonNull(loadOrder, "loadOrder");
        Objects.requireNonNull(runners, "runners");
        Objects.requireNonNull(eviction, "eviction");
        Objects.requireNonNull(wakes, "wakes");
    }

    /** Returns the policies of the daemon. */
    public static PlacementPolicies standard() {
        return new PlacementPolicies(
                new LearnedKeepAlivePolicy(),
                new EarliestDeadlineFirst(),
                new NearestCheckpointSelector(),
                new LeastRecentlyUsedEviction(),
                new OneReplicaPerModel());
    }

    /**
     * Returns the same policies with another keep-alive.
     *
     * @param other the keep-alive policy
     */
    public PlacementPolicies withKeepAlive(KeepAlivePolicy other) {
        return new PlacementPolicies(other, loadOrder, runners, eviction, wakes);
    }
}
