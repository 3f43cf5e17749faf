package org.oleanderspring.daemon.routing.command;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.jspecify.annotations.Nullable;
import org.oleanderspring.coordination.membership.Address;
import org.oleanderspring.core.fleet.CellName;
import org.oleanderspring.core.fleet.Checkpoint;
import org.oleanderspring.core.fleet.Endpoint;
import org.oleanderspring.core.fleet.EndpointId;
import org.oleanderspring.core.fleet.EndpointKind;
import org.oleanderspring.core.fleet.ModelName;
import org.oleanderspring.core.fleet.Vm;
import org.oleanderspring.core.fleet.VmList;
import org.oleanderspring.core.fleet.VmState;
import org.oleanderspring.core.placement.Plan;
import org.oleanderspring.core.placement.query.PlacedReplica;
import org.oleanderspring.core.placement.query.PlacedReplicas;
import org.oleanderspring.core.routing.Replica;
import org.oleanderspring.core.routing.ReplicaState;
import org.oleanderspring.core.routing.RoutingTable;
import org.oleanderspring.core.routing.Target;
import org.oleanderspring.core.settings.SettingName;

/**
 * Builds the routing table from the VM list, the catalogue and the placement plans. Used on the
 * thread of the routing duty only.
 */
final class RoutingTableAssembler {
    /**
     * The maximum number of calls that this daemon runs at a time at one endpoint of a service. It
     * is not divided among the daemons, unlike the limit for runners, which is a setting.
     */
    private static final int SERVICE_CONCURRENCY = 64;

    private final Map<EndpointId, Endpoint> mEndpoints = new HashMap<>();
    private final Set<EndpointId> mLeavingEndpoints = new HashSet<>();
    private final Map<CellName, Plan> mPlans = new HashMap<>();
    private int mRunnerConcurrency = (int) SettingName.RUNNER_CONCURRENCY.defaultValue();
    private int mDaemonCount = 1;
    private List<Checkpoint> mCatalogue = List.of();

    void setVms(VmList vms) {
        mEndpoints.clear();
        mLeavingEndpoints.clear();
        for (Vm vm : vms.vms()) {
            for (Endpoint endpoint : vm.endpoints()) {
                mEndpoints.put(endpoint.id(), endpoint);
                if (vm.state() == VmState.LEAVING) {
                    mLeavingEndpoints.add(endpoint.id());
                }
            }
        }
    }

    void setCatalogue(List<Checkpoint> catalogue) {
        mCatalogue = List.copyOf(catalogue);
    }

    /** Replaces the plan of a cell, unless the current one has the same or a higher number. */
    void setPlan(Plan plan) {
        mPlans.merge(plan.cell(), plan, (old, next) -> next.number() > old.number() ? next : old);
    }

    void setRunnerConcurrency(int concurrency) {
        mRunnerConcurrency = concurrency;
    }

    void setDaemonCount(int daemonCount) {
        mDaemonCount = daemonCount;
    }

    @Nullable Address addressOf(EndpointId endpoint) {
        Endpoint found = mEndpoints.get(endpoint);
        return found == null ? null : found.address();
    }

    List<ModelName> modelsAndAdapters() {
        return mCatalogue.stream().map(Checkpoint::name).sorted().toList();
    }

    RoutingTable build() {
        Map<Target, List<Replica>> replicas = new HashMap<>();
        Set<Target> knownTargets = new HashSet<>();
        for (Checkpoint checkpoint : mCatalogue) {
            knownTargets.add(new Target.ModelTarget(checkpoint.name()));
        }
        for (Endpoint endpoint : mEndpoints.values()) {
            if (endpoint.kind() == EndpointKind.SERVICE && endpoint.service() != null) {
                Target target = new Target.ServiceTarget(endpoint.service());
                knownTargets.add(target);
                addReplica(replicas, target, endpoint.id(), SERVICE_CONCURRENCY);
            }
        }
        for (Plan plan : mPlans.values()) {
            addPlacedReplicas(plan, replicas);
        }
        return new RoutingTable(replicas, knownTargets);
    }

    private void addPlacedReplicas(Plan plan, Map<Target, List<Replica>> replicas) {
        // Rounded up, so that the limits of all daemons together may exceed the setting. The limit
        // holds for each model or adapter on a runner, not for the runner as a whole.
        int concurrencyPerDaemon =
                Math.max(1, (mRunnerConcurrency + mDaemonCount - 1) / mDaemonCount);
        for (PlacedReplica placed : PlacedReplicas.of(plan, mEndpoints.values())) {
            EndpointId endpoint = placed.endpoint().id();
            boolean draining = placed.draining() || mLeavingEndpoints.contains(endpoint);
            replicas.computeIfAbsent(
                            new Target.ModelTarget(placed.name()), key -> new ArrayList<>())
                    .add(
                            new Replica(
                                    endpoint,
                                    draining ? ReplicaState.DRAINING : ReplicaState.READY,
                                    concurrencyPerDaemon));
        }
    }

    private void addReplica(
            Map<Target, List<Replica>> replicas,
            Target target,
            EndpointId endpoint,
            int concurrency) {
        ReplicaState state =
                mLeavingEndpoints.contains(endpoint) ? ReplicaState.DRAINING : ReplicaState.READY;
        replicas.computeIfAbsent(target, key -> new ArrayList<>())
                .add(new Replica(endpoint, state, concurrency));
    }
}
