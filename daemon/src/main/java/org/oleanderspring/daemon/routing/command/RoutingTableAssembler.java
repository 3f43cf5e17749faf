package org.oleanderspring.daemon.routing.command;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.jspecify.annotations.Nullable;
import org.oleanderspring.coordination.membership.Address;
import org.oleanderspring.core.fleet.Checkpoint;
import org.oleanderspring.core.fleet.Endpoint;
import org.oleanderspring.core.fleet.EndpointId;
import org.oleanderspring.core.fleet.EndpointKind;
import org.oleanderspring.core.fleet.LoadState;
import org.oleanderspring.core.fleet.LoadedCheckpoint;
import org.oleanderspring.core.fleet.ModelName;
import org.oleanderspring.core.fleet.RunnerReport;
import org.oleanderspring.core.fleet.Vm;
import org.oleanderspring.core.fleet.VmList;
import org.oleanderspring.core.fleet.VmState;
import org.oleanderspring.core.routing.Replica;
import org.oleanderspring.core.routing.ReplicaState;
import org.oleanderspring.core.routing.RoutingTable;
import org.oleanderspring.core.routing.Target;

/** Puts the routing table together from the VM list, the catalogue and what runners hold. */
final class RoutingTableAssembler {
    private static final int SERVICE_CONCURRENCY = 64;

    private final Map<EndpointId, Endpoint> mEndpoints = new HashMap<>();
    private final Set<EndpointId> mLeaving = new HashSet<>();
    private final Map<EndpointId, RunnerReport> mReports = new HashMap<>();
    private List<Checkpoint> mCatalogue = List.of();

    void setVms(VmList vms) {
        mEndpoints.clear();
        mLeaving.clear();
        for (Vm vm : vms.vms()) {
            for (Endpoint endpoint : vm.endpoints()) {
                mEndpoints.put(endpoint.id(), endpoint);
                if (vm.state() == VmState.LEAVING) {
                    mLeaving.add(endpoint.id());
                }
            }
        }
        mReports.keySet().retainAll(mEndpoints.keySet());
    }

    void setCatalogue(List<Checkpoint> catalogue) {
        mCatalogue = List.copyOf(catalogue);
    }

    void setReport(RunnerReport report) {
        mReports.put(report.runner(), report);
    }

    @Nullable Address addressOf(EndpointId endpoint) {
        Endpoint found = mEndpoints.get(endpoint);
        return found == null ? null : found.address();
    }

    List<ModelName> models() {
        return mCatalogue.stream().map(Checkpoint::name).sorted().toList();
    }

    RoutingTable build() {
        Map<Target, List<Replica>> replicas = new HashMap<>();
        Set<Target> known = new HashSet<>();
        for (Checkpoint checkpoint : mCatalogue) {
            known.add(new Target.ModelTarget(checkpoint.name()));
        }
        for (Endpoint endpoint : mEndpoints.values()) {
            if (endpoint.kind() == EndpointKind.SERVICE && endpoint.service() != null) {
                Target target = new Target.ServiceTarget(endpoint.service());
                known.add(target);
                add(replicas, target, endpoint.id(), SERVICE_CONCURRENCY);
            }
        }
        for (RunnerReport report : mReports.values()) {
            addLoaded(report, replicas);
        }
        return new RoutingTable(replicas, known);
    }

    private void addLoaded(RunnerReport report, Map<Target, List<Replica>> replicas) {
        for (LoadedCheckpoint loaded : report.loaded()) {
            if (loaded.state() == LoadState.READY) {
                add(
                        replicas,
                        new Target.ModelTarget(loaded.name()),
                        report.runner(),
                        report.concurrency());
            }
        }
    }

    private void add(
            Map<Target, List<Replica>> replicas,
            Target target,
            EndpointId endpoint,
            int concurrency) {
        ReplicaState state =
                mLeaving.contains(endpoint) ? ReplicaState.DRAINING : ReplicaState.READY;
        replicas.computeIfAbsent(target, key -> new ArrayList<>())
                .add(new Replica(endpoint, state, concurrency));
    }
}
