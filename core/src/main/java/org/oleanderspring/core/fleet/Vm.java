package org.oleanderspring.core.fleet;

import java.util.List;
import java.util.Objects;

/**
 * A machine with its endpoints, as the VM list shows it.
 *
 * @param id the identity
 * @param failureDomain the failure domain
 * @param state live or leaving
 * @param memoryMegabytes the memory for models
 * @param endpoints the endpoints that run on it
 */
public record Vm(
        VmId id,
        FailureDomain failureDomain,
        VmState state,
        long memoryMegabytes,
        List<Endpoint> endpoints) {
    /** Copies the list and checks the size. */
    public Vm {
        Objects.requireNonNull(id, "id");
        Objects.requireNonNull(failureDomain, "failureDomain");
        Objects.requireNonNull(state, "state");
        endpoints = List.copyOf(endpoints);
        if (memoryMegabytes < 0) {
            throw new IllegalArgumentException("memory is negative: " + memoryMegabytes);
        }
    }
}
