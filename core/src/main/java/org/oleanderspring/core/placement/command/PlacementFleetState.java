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

/** The VMs and runners of the cell, according to the last VM list and the last runner reports. */
final class PlacementFleetState {
    /** A runner whose last report is older than this gets no new loads. */
    private static final Duration REPORT_AGE_LIMIT = Duration.ofSeconds(15);

    private final CellName mCell;
    private final Map<VmId, Vm> mVms = new HashMap<>();
    private final TreeMap<EndpointId, Endpoint> mRunners = new TreeMap<>();
    private final Map<EndpointId, RunnerReport> mReports = new HashMap<>();
    private final AbsenceTracker<EndpointId> mAbsentRunners = new AbsenceTracker<>();
    private final AbsenceTracker<VmId> mAbsentVms = new AbsenceTracker<>();
    private Instant mListReadAt = Instant.MIN;

    PlacementFleetState(CellName cell) {
        mCell = cell;
    }

    /**
     * Applies a VM list unless a later one is known; {@code runners} and {@code vms} are those
     * whose absence is tracked.
     */
    void applyList(VmList list, Collection<EndpointId> runners, Collection<VmId> vms) {
        if (list.readAt().isBefore(mListReadAt)) {
            return;
        }
        mListReadAt = list.readAt();
        mVms.clear();
        mRunners.clear();
        Set<VmId> present = new HashSet<>();
        list.daemonVms().forEach(daemonVm -> present.add(daemonVm.id()));
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

    /** Stores a runner's report; returns false if a later one is known. */
    boolean applyReport(RunnerReport report) {
        RunnerReport known = mReports.get(report.runner());
        if (known != null && report.madeAt().isBefore(known.madeAt())) {
            return false;
        }
        mReports.put(report.runner(), report);
        return true;
    }

    /** Returns the runners of the cell in the last VM list, ordered by identifier. */
    Collection<Endpoint> runners() {
        return mRunners.values();
    }

    /** Returns a runner of the cell in the last VM list, or null. */
    @Nullable Endpoint runner(EndpointId id) {
        return mRunners.get(id);
    }

    /** Returns a VM in the last VM list, or null. */
    @Nullable Vm vm(VmId id) {
        return mVms.get(id);
    }

    /** Returns the last report of a runner, or null. */
    @Nullable RunnerReport reportOf(EndpointId id) {
        return mReports.get(id);
    }

    /** Returns a report's entry for a model or adapter, or null if the runner does not hold it. */
    static @Nullable LoadedCheckpoint loaded(RunnerReport report, ModelName name) {
        for (LoadedCheckpoint checkpoint : report.loaded()) {
            if (checkpoint.name().equals(name)) {
                return checkpoint;
            }
        }
        return null;
    }

    /** Returns the checkpoints in a report; empty if there is no report. */
    static List<LoadedCheckpoint> loaded(@Nullable RunnerReport report) {
        return report == null ? List.of() : report.loaded();
    }

    /** Returns whether a runner was absent from the VM list for longer than its lag. */
    boolean isRunnerConfirmedAbsent(EndpointId id, Duration lag) {
        return mAbsentRunners.isConfirmedAbsent(id, lag);
    }

    /** Returns whether a VM was absent from the VM list for longer than its lag. */
    boolean isVmConfirmedAbsent(VmId id, Duration lag) {
        return mAbsentVms.isConfirmedAbsent(id, lag);
    }

    /** Returns whether a runner can take new loads: it reported recently and is not leaving. */
    boolean takesLoads(Endpoint runner, Instant now) {
        RunnerReport report = mReports.get(runner.id());
        return report != null
                && !isLeaving(runner.id())
                && report.madeAt().plus(REPORT_AGE_LIMIT).isAfter(now);
    }

    /** Returns whether a listed runner is draining or its VM is leaving. */
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
