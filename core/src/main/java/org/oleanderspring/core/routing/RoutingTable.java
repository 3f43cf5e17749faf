package org.oleanderspring.core.routing;

import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The replicas of all targets, as far as this daemon knows them.
 *
 * @param replicas the replicas by target; targets without a replica may be missing
 * @param knownTargets all targets that exist, with or without a replica
 */
public record RoutingTable(Map<Target, List<Replica>> replicas, Set<Target> knownTargets) {
    /** The table without targets, which applies until the first table is built. */
    public static final RoutingTable EMPTY = new RoutingTable(Map.of(), Set.of());

    /** Copies the collections. */
    public RoutingTable {
        replicas = Map.copyOf(replicas);
        knownTargets = Set.copyOf(knownTargets);
    }

    /**
     * Returns the replicas of a target; empty if it has none or is unknown.
     *
     * @param target the target
     */
    public List<Replica> replicasOf(Target target) {
        return replicas.getOrDefault(target, List.of());
    }
}
