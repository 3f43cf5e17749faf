package org.oleanderspring.core.placement.command;

import java.util.Objects;

/**
 * The replaceable policies of placement.
 *
 * @param keepAlive decides how long idle replicas stay loaded
 * @param loadOrder decides which load starts first
 * @param runners decides which runner loads a checkpoint
 * @param eviction decides which idle slots are unloaded to free memory
 * @param activationReplicas decides how many replicas are loaded for waiting calls
 */
public record PlacementPolicies(
        KeepAlivePolicy keepAlive,
        LoadOrderPolicy loadOrder,
        RunnerSelector runners,
        EvictionPolicy eviction,
        ActivationReplicaPolicy activationReplicas) {
    /** Rejects null components. */
    public PlacementPolicies {
        Objects.requireNonNull(keepAlive, "keepAlive");
        Objects.requireNonNull(loadOrder, "loadOrder");
        Objects.requireNonNull(runners, "runners");
        Objects.requireNonNull(eviction, "eviction");
        Objects.requireNonNull(activationReplicas, "activationReplicas");
    }

    /** Returns the policies that the daemon uses. */
    public static PlacementPolicies standard() {
        return new PlacementPolicies(
                new LearnedKeepAlivePolicy(),
                new EarliestDeadlineFirst(),
                new NearestCheckpointSelector(),
                new LeastRecentlyUsedEviction(),
                new OneReplicaPerModel());
    }

    /**
     * Returns a copy with another keep-alive policy.
     *
     * @param other the keep-alive policy
     */
    public PlacementPolicies withKeepAlive(KeepAlivePolicy other) {
        return new PlacementPolicies(other, loadOrder, runners, eviction, activationReplicas);
    }
}
