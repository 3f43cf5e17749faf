package org.oleanderspring.core.fleet;

import java.util.List;
import java.util.Objects;

/**
 * A VM with its endpoints, as listed by the platform.
 *
 * @param id the identity of the VM
 * @param failureDomain the failure domain of the VM
 * @param state whether the VM is live or leaving
 * @param memoryMegabytes the memory available for models
 * @param endpoints the endpoints that run on the VM
 */
public record Vm(
        VmId id,
        FailureDomain failureDomain,
        VmState state,
        long memoryMegabytes,
        List<Endpoint> endpoints) {
    /** Copies the list and rejects a negative memory size. */
    public Vm {
        Objects.requireNonNull(id, "id");
        Objects.requireNonNull(failureDomain, "failureDomain");
        Objects.requireNonNull(state, "state");
        endpoints = List.copyOf(endpoints);
        if (memoryMegabytes < 0) {
            throw new IllegalArgumentException(
                    "memory of " + id + " is negative: " + memoryMegabytes);
        }
    }
}
