package org.oleanderspring.core.fleet;

import java.time.Instant;
import java.util.List;
import java.util.Objects;

/**
 * The list of VMs published by the platform. It may be out of date.
 *
 * @param readAt the time at which the list was read
 * @param vms the VMs with endpoints
 * @param daemonVms the VMs on which daemons run
 */
public record VmList(Instant readAt, List<Vm> vms, List<DaemonVm> daemonVms) {
    /** Copies the lists. */
    public VmList {
        Objects.requireNonNull(readAt, "readAt");
        vms = List.copyOf(vms);
        daemonVms = List.copyOf(daemonVms);
    }
}
