package org.oleanderspring.core.routing;

import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Where each target can be served, as this daemon knows it.
 *
 * @param replicas the replicas of each target that has any
 * @param knownTargets all targets that exist, with or without a replica
 */
public record RoutingTable(Map<Target, List<Replica>> replicas, Set<Target> knownTargets) {
    /** The table before anything is known. */
    public static final RoutingTable EMPTY = new RoutingTable(Map.of(), Set.of());

    /** Copies the collections. */
    public RoutingTable {
        replicas = Map.copyOf(replicas);
        knownTargets = Set.copyOf(knownTargets);
    }

    /**
     * Returns the replicas of a target.
     *
     * @param target the target
     */
    public List<Replica> replicasOf(Target target) {
        return replicas.getOrDefault(target, List.of());
    }
}
