package org.oleanderspring.daemon.placement.command;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import org.jspecify.annotations.Nullable;
import org.oleanderspring.coordination.membership.Address;
import org.oleanderspring.coordination.membership.Member;
import org.oleanderspring.coordination.membership.MemberList;
import org.oleanderspring.core.fleet.CellName;
import org.oleanderspring.core.fleet.DaemonVm;
import org.oleanderspring.core.fleet.Endpoint;
import org.oleanderspring.core.fleet.EndpointId;
import org.oleanderspring.core.fleet.EndpointKind;
import org.oleanderspring.core.fleet.Vm;
import org.oleanderspring.core.fleet.VmId;
import org.oleanderspring.core.fleet.VmList;

/** The cells, runners and daemons of the fleet, from the latest VM list and member list. */
final class FleetTopology {
    private final Map<EndpointId, CellName> mCellsByRunner = new HashMap<>();
    private final Map<Address, VmId> mVmsByDaemon = new HashMap<>();
    private List<Address> mLiveDaemons = List.of();
    private Set<CellName> mCells = Set.of();

    void setVms(VmList vms) {
        mCellsByRunner.clear();
        mVmsByDaemon.clear();
        for (Vm vm : vms.vms()) {
            for (Endpoint endpoint : vm.endpoints()) {
                if (endpoint.kind() == EndpointKind.RUNNER) {
                    mCellsByRunner.put(endpoint.id(), endpoint.cell());
                }
            }
        }
        for (DaemonVm daemonVm : vms.daemonVms()) {
            mVmsByDaemon.put(daemonVm.peerAddress(), daemonVm.id());
        }
        mCells = new TreeSet<>(mCellsByRunner.values());
    }

    void setMembers(MemberList members) {
        mLiveDaemons = members.live().stream().map(Member::peerAddress).toList();
    }

    Set<CellName> cells() {
        return mCells;
    }

    @Nullable CellName cellOf(EndpointId runner) {
        return mCellsByRunner.get(runner);
    }

    @Nullable VmId vmOf(Address daemon) {
        return mVmsByDaemon.get(daemon);
    }

    List<Address> otherDaemons(Address self) {
        return mLiveDaemons.stream().filter(address -> !address.equals(self)).toList();
    }
}
