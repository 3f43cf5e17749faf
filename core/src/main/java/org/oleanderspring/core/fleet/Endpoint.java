package org.oleanderspring.core.fleet;

import java.util.Objects;
import org.jspecify.annotations.Nullable;
import org.oleanderspring.coordination.membership.Address;

/**
 * A process that serves requests.
 *
 * @param id the identity of this run of the process
 * @param vm the VM on which the process runs
 * @param address the address on which it listens
 * @param kind whether it is a model engine or a plain service
 * @param cell the cell to which it belongs
 * @param service the name of the plain service, or null for a runner
 * @param checksFencingToken whether it rejects orders with an outdated fencing token
 */
public record Endpoint(
        EndpointId id,
        VmId vm,
        Address address,
        EndpointKind kind,
        CellName cell,
        @Nullable ServiceName service,
        boolean checksFencingToken) {
    /** Checks that plain services have a service name and runners have none. */
    public Endpoint {
        Objects.requireNonNull(id, "id");
        Objects.requireNonNull(vm, "vm");
        Objects.requireNonNull(address, "address");
        Objects.requireNonNull(kind, "kind");
        Objects.requireNonNull(cell, "cell");
        if ((kind == EndpointKind.SERVICE) != (service != null)) {
            throw new IllegalArgumentException(
                    "endpoint " + id + " of kind " + kind + " has service name " + service);
        }
    }
}
