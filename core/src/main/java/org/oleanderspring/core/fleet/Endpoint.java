package org.oleanderspring.core.fleet;

import java.util.Objects;
import org.jspecify.annotations.Nullable;
import org.oleanderspring.coordination.membership.Address;

/**
 * A process that answers requests.
 *
 * @param id the identity
 * @param vm the VM that it runs on
 * @param address where it listens
 * @param kind what it serves
 * @param cell the cell that it belongs to
 * @param service the name of the plain service, or null for a runner
 * @param checksFencingToken whether it refuses orders with an old fencing token
 */
public record Endpoint(
        EndpointId id,
        VmId vm,
        Address address,
        EndpointKind kind,
        CellName cell,
        @Nullable ServiceName service,
        boolean checksFencingToken) {
    /** Checks that exactly plain services have a service name. */
    public Endpoint {
        Objects.requireNonNull(id, "id");
        Objects.requireNonNull(vm, "vm");
        Objects.requireNonNull(address, "address");
        Objects.requireNonNull(kind, "kind");
        Objects.requireNonNull(cell, "cell");
        if ((kind == EndpointKind.SERVICE) != (service != null)) {
            throw new IllegalArgumentException("service name does not fit the kind of " + id);
        }
    }
}
