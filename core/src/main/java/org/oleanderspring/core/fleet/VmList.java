package org.oleanderspring.core.fleet;

import java.time.Instant;
import java.util.List;
import java.util.Objects;

/**
 * The platform's list of VMs; it may lag behind the truth.
 *
 * @param readAt when it was read
 * @param vms the VMs with endpoints
 * @param entries the entry VMs, on which daemons run
 */
public record VmList(Instant readAt, List<Vm> vms, List<DaemonVm> entries) {
    /** Copies the lists. */
    public VmList {
        Objects.requireNonNull(readAt, "readAt");
        vms = List.copyOf(vms);
        entries = List.copyOf(entries);
    }
}
