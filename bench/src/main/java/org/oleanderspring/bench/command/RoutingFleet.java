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
 * The table of a fleet: the runners take the models in turn, and each runner also holds a few
 * adapters, in turn as well.
 *
 * @param runners how many runners there are
 * @param models how many models there are
 * @param adapters how many adapters there are
 * @param concurrency how many calls of a target a runner takes from this daemon
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

    /** Returns the table of all runners. */
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
     * Returns a table without the last runner, as after the loss of a VM.
     *
     * @param table the table of all runners
     * @param shared whether targets that the runner does not serve keep their list of replicas, or
     *     get an equal one
     */
    RoutingTable withoutLast(RoutingTable table, boolean shared) {
        EndpointId lost = endpoint(runners - 1);
        Map<Target, List<Replica>> replicas = new HashMap<>();
        for (Map.Entry<Target, List<Replica>> entry : table.replicas().entrySet()) {
            List<Replica> left = new ArrayList<>(entry.getValue());
            boolean served = left.removeIf(replica -> replica.endpoint().equals(lost));
            replicas.put(entry.getKey(), shared && !served ? entry.getValue() : left);
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
