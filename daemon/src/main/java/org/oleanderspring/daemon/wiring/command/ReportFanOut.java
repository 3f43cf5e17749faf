package org.oleanderspring.daemon.wiring.command;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import org.oleanderspring.coordination.membership.Address;
import org.oleanderspring.coordination.membership.command.MembershipEvent;
import org.oleanderspring.core.fleet.CellName;
import org.oleanderspring.core.fleet.Checkpoint;
import org.oleanderspring.core.fleet.DaemonVm;
import org.oleanderspring.core.fleet.Endpoint;
import org.oleanderspring.core.fleet.EndpointKind;
import org.oleanderspring.core.fleet.RunnerReport;
import org.oleanderspring.core.fleet.Vm;
import org.oleanderspring.core.fleet.VmList;
import org.oleanderspring.core.fleet.VmState;
import org.oleanderspring.daemon.document.command.DocumentInput;
import org.oleanderspring.daemon.lease.command.LeaseInput;
import org.oleanderspring.daemon.membership.command.MembershipInput;
import org.oleanderspring.daemon.placement.command.PlacementInput;
import org.oleanderspring.daemon.report.command.ReportListener;
import org.oleanderspring.daemon.routing.command.RoutingInput;

/**
 * Forwards VM lists, checkpoint lists and runner reports from the report duty to the rings of other
 * duties. Confined to the report thread.
 */
public final class ReportFanOut implements ReportListener {
    private final Rings mRings;
    private Set<CellName> mCells = Set.of();

    /**
     * Starts without cells, so that the first VM list with runners also goes to the lease and
     * document duties.
     *
     * @param rings the rings of all duties
     */
    public ReportFanOut(Rings rings) {
        mRings = rings;
    }

    @Override
    public void vmsListed(VmList vms) {
        mRings.routing().offer(new RoutingInput.VmsListed(vms));
        mRings.placement().offer(new PlacementInput.VmsListed(vms));
        List<Address> seeds = new ArrayList<>();
        for (DaemonVm daemonVm : vms.daemonVms()) {
            if (daemonVm.state() == VmState.LIVE) {
                seeds.add(daemonVm.peerAddress());
            }
        }
        mRings.membership()
                .offer(new MembershipInput.Event(new MembershipEvent.SeedsListed(seeds)));
        Set<CellName> cells = cellsOf(vms);
        if (!cells.equals(mCells)) {
            mCells = cells;
            mRings.lease().offer(new LeaseInput.CellsListed(cells));
            mRings.document().offer(new DocumentInput.CellsListed(List.copyOf(cells)));
        }
    }

    @Override
    public void catalogueListed(List<Checkpoint> checkpoints) {
        mRings.routing().offer(new RoutingInput.CatalogueListed(checkpoints));
        mRings.placement().offer(new PlacementInput.CatalogueListed(checkpoints));
    }

    @Override
    public void runnerReported(RunnerReport report) {
        mRings.placement().offer(new PlacementInput.RunnerReported(report));
    }

    private static Set<CellName> cellsOf(VmList vms) {
        Set<CellName> cells = new TreeSet<>();
        for (Vm vm : vms.vms()) {
            for (Endpoint endpoint : vm.endpoints()) {
                if (endpoint.kind() == EndpointKind.RUNNER) {
                    cells.add(endpoint.cell());
                }
            }
        }
        return cells;
    }
}
