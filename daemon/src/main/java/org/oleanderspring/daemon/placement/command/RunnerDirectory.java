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
final class RunnerDirectory {
    private final Map<EndpointId, CellName> mCellsOfRunners = new HashMap<>();
    private final Map<Address, VmId> mEntryVms = new HashMap<>();
    private List<Address> mDaemons = List.of();
    private Set<CellName> mCells = Set.of();

    void setVms(VmList vms) {
        mCellsOfRunners.clear();
        mEntryVms.clear();
        for (Vm vm : vms.vms()) {
            for (Endpoint endpoint : vm.endpoints()) {
                if (endpoint.kind() == EndpointKind.RUNNER) {
                    mCellsOfRunners.put(endpoint.id(), endpoint.cell());
                }
            }
        }
        for (DaemonVm entry : vms.entries()) {
            mEntryVms.put(entry.peerAddress(), entry.id());
        }
        mCells = new TreeSet<>(mCellsOfRunners.values());
    }

    void setMembers(MemberList members) {
        mDaemons = members.live().stream().map(Member::peerAddress).toList();
    }

    Set<CellName> cells() {
        return mCells;
    }

    @Nullable CellName cellOf(EndpointId runner) {
        return mCellsOfRunners.get(runner);
    }

    @Nullable VmId vmOf(Address daemon) {
        return mEntryVms.get(daemon);
    }

    List<Address> otherDaemons(Address self) {
        return mDaemons.stream().filter(address -> !address.equals(self)).toList();
    }
}
