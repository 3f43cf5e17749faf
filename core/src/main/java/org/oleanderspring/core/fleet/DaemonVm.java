package org.oleanderspring.core.fleet;

import java.util.Objects;
import org.oleanderspring.coordination.membership.Address;

/**
 * A VM on which a daemon runs.
 *
 * @param id the identity of the VM
 * @param failureDomain the failure domain of the VM
 * @param state whether the VM is live or leaving
 * @param peerAddress the address on which its daemon accepts connections of other daemons
 */
public record DaemonVm(VmId id, FailureDomain failureDomain, VmState state, Address peerAddress) {
    /** Rejects null components. */
    public DaemonVm {
        Objects.requireNonNull(id, "id");
        Objects.requireNonNull(failureDomain, "failureDomain");
        Objects.requireNonNull(state, "state");
        Objects.requireNonNull(peerAddress, "peerAddress");
    }
}
