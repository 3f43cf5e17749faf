package org.oleanderspring.core.fleet;

import java.util.Objects;
import org.oleanderspring.coordination.membership.Address;

/**
 * A VM on which a daemon runs.
 *
 * @param id the VM
 * @param failureDomain its failure domain
 * @param state live or leaving
 * @param peerAddress where its daemon talks to other daemons
 */
public record DaemonVm(VmId id, FailureDomain failureDomain, VmState state, Address peerAddress) {
    /** Checks for missing parts. */
    public DaemonVm {
        Objects.requireNonNull(id, "id");
        Objects.requireNonNull(failureDomain, "failureDomain");
        Objects.requireNonNull(state, "state");
        Objects.requireNonNull(peerAddress, "peerAddress");
    }
}
