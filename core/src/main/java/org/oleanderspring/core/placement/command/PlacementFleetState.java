package org.oleanderspring.core.placement.command;

import java.time.Duration;
import java.time.Instant;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.jspecify.annotations.Nullable;
import org.oleanderspring.core.fleet.CellName;
import org.oleanderspring.core.fleet.Endpoint;
import org.oleanderspring.core.fleet.EndpointId;
import org.oleanderspring.core.fleet.EndpointKind;
import org.oleanderspring.core.fleet.LoadedCheckpoint;
import org.oleanderspring.core.fleet.ModelName;
import org.oleanderspring.core.fleet.RunnerReport;
import org.oleanderspring.core.fleet.Vm;
import org.oleanderspring.core.fleet.VmId;
import org.oleanderspring.core.fleet.VmList;
import org.oleanderspring.core.fleet.VmState;

/** The VMs and runners of the cell as the last list and the last reports show them. */
final class PlacementFleetState {
    /** A runner that did not report for this long gets no new work. */
    private static final Duration REPORT_AGE_LIMIT = Duration.ofSeconds(15);

    private final CellName mCell;
    private final Map<VmId, Vm> mVms = new HashMap<>();
    private final TreeMap<EndpointId, Endpoint> mRunners = new TreeMap<>();
    private final Map<EndpointId, RunnerReport> mReports = new HashMap<>();
    private final AbsenceTracker<EndpointId> mAbsentRunners = new AbsenceTracker<>();
    private final AbsenceTracker<VmId> mAbsentVms = new AbsenceTracker<>();
    private Instant mReadAt = Instant.MIN;

    PlacementFleetState(CellName cell) {
        mCell = cell;
    }

    /** Takes in a VM list, with the runners and VMs whose absence matters. */
    void list(VmList list, Collection<EndpointId> runners, Collection<VmId> vms) {
        if (list.readAt().isBefore(mReadAt)) {
            return;
        }
        mReadAt = list.readAt();
        mVms.clear();
        mRunners.clear();
        Set<VmId> present = new HashSet<>();
        list.entries().forEach(entry -> present.add(entry.id()));
        for (Vm vm : list.vms()) {
            present.add(vm.id());
            mVms.put(vm.id(), vm);
            vm.endpoints().stream()
                    .filter(this::isRunnerOfCell)
                    .forEach(runner -> mRunners.put(runner.id(), runner));
        }
        mReports.keySet().retainAll(mRunners.keySet());
        mAbsentRunners.update(mRunners.keySet(), runners, list.readAt());
        mAbsentVms.update(present, vms, list.readAt());
    }

    private boolean isRunnerOfCell(Endpoint endpoint) {
        return endpoint.kind() == EndpointKind.RUNNER && endpoint.cell().equals(mCell);
    }

    /** Takes in a report; returns false if a later one is known. */
    boolean report(RunnerReport report) {
        RunnerReport known = mReports.get(report.runner());
        if (known != null && report.madeAt().isBefore(known.madeAt())) {
            return false;
        }
        mReports.put(report.runner(), report);
        return true;
    }

    /** Returns the runners in the last list. */
    Collection<Endpoint> runners() {
        return mRunners.values();
    }

    /** Returns a runner of the last list, or null. */
    @Nullable Endpoint runner(EndpointId id) {
        return mRunners.get(id);
    }

    /** Returns a VM of the last list, or null. */
    @Nullable Vm vm(VmId id) {
        return mVms.get(id);
    }

    /** Returns the last report of a runner, or null. */
    @Nullable RunnerReport reportOf(EndpointId id) {
        return mReports.get(id);
    }

    /** Returns what the last report says of a checkpoint, or null if it is not loaded. */
    static @Nullable LoadedCheckpoint loaded(RunnerReport report, ModelName name) {
        for (LoadedCheckpoint checkpoint : report.loaded()) {
            if (checkpoint.name().equals(name)) {
                return checkpoint;
            }
        }
        return null;
    }

    /** Returns the checkpoints that a report shows. */
    static List<LoadedCheckpoint> loaded(@Nullable RunnerReport report) {
        return report == null ? List.of() : report.loaded();
    }

    /** Returns whether the runner was absent from the list for longer than its lag. */
    boolean isRunnerGone(EndpointId id, Duration lag) {
        return mAbsentRunners.isGone(id, lag);
    }

    /** Returns whether the VM was absent from the list for longer than its lag. */
    boolean isVmGone(VmId id, Duration lag) {
        return mAbsentVms.isGone(id, lag);
    }

    /** Returns whether a runner takes new loads. */
    boolean takesLoads(Endpoint runner, Instant now) {
        RunnerReport report = mReports.get(runner.id());
        return report != null
                && !isLeaving(runner.id())
                && report.madeAt().plus(REPORT_AGE_LIMIT).isAfter(now);
    }

    /** Returns whether a listed runner will go away. */
    boolean isLeaving(EndpointId id) {
        Endpoint runner = mRunners.get(id);
        if (runner == null) {
            return false;
        }
        Vm vm = mVms.get(runner.vm());
        RunnerReport report = mReports.get(id);
        return (vm != null && vm.state() == VmState.LEAVING)
                || (report != null && report.draining());
    }
}
