package org.oleanderspring.bench.command;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.oleanderspring.core.fleet.EndpointId;
import org.oleanderspring.core.fleet.ModelName;
import org.oleanderspring.core.routing.Replica;
import org.oleanderspring.core.routing.ReplicaState;
import org.oleanderspring.core.routing.RoutingTable;
import org.oleanderspring.core.routing.Target;

/**
 * Creates the routing table of a fleet. Models are assigned to the runners round robin, and so are
 * the adapters, four for each runner regardless of its model.
 *
 * @param runners the number of runners
 * @param models the number of models
 * @param adapters the number of adapters; 0 or at least 4, because each runner has four different
 *     ones
 * @param concurrency the number of calls of a target that a runner accepts from this daemon
 */
record RoutingFleet(int runners, int models, int adapters, int concurrency) {
    private static final int ADAPTERS_PER_RUNNER = 4;

    /** Returns all models, then all adapters. */
    List<Target> targets() {
        List<Target> targets = new ArrayList<>();
        for (int i = 0; i < models; i++) {
            targets.add(new Target.ModelTarget(new ModelName("model-" + i)));
        }
        for (int i = 0; i < adapters; i++) {
            targets.add(new Target.ModelTarget(new ModelName("adapter-" + i)));
        }
        return targets;
    }

    /** Returns the routing table of all runners. */
    RoutingTable table() {
        List<Target> targets = targets();
        Map<Target, List<Replica>> replicas = new HashMap<>();
        for (int runner = 0; runner < runners; runner++) {
            Replica replica = new Replica(endpoint(runner), ReplicaState.READY, concurrency);
            add(replicas, targets.get(runner % models), replica);
            for (int i = 0; adapters > 0 && i < ADAPTERS_PER_RUNNER; i++) {
                int adapter = (runner * ADAPTERS_PER_RUNNER + i) % adapters;
                add(replicas, targets.get(models + adapter), replica);
            }
        }
        return new RoutingTable(replicas, Map.copyOf(replicas).keySet());
    }

    /**
     * Returns a copy of a table without the last runner, as after the loss of a VM.
     *
     * @param table the table of all runners
     * @param sharesLists whether targets that the last runner does not serve keep the same list
     *     object, or get an equal copy
     */
    RoutingTable withoutLastRunner(RoutingTable table, boolean sharesLists) {
        EndpointId lost = endpoint(runners - 1);
        Map<Target, List<Replica>> replicas = new HashMap<>();
        for (Map.Entry<Target, List<Replica>> entry : table.replicas().entrySet()) {
            List<Replica> remaining = new ArrayList<>(entry.getValue());
            boolean wasServed = remaining.removeIf(replica -> replica.endpoint().equals(lost));
            replicas.put(entry.getKey(), sharesLists && !wasServed ? entry.getValue() : remaining);
        }
        return new RoutingTable(replicas, table.knownTargets());
    }

    private static EndpointId endpoint(int runner) {
        return new EndpointId("runner-" + runner);
    }

    private static void add(Map<Target, List<Replica>> replicas, Target target, Replica replica) {
        replicas.computeIfAbsent(target, key -> new ArrayList<>()).add(replica);
    }
}
