package org.oleanderspring.core.runner;

import java.time.Duration;
import java.util.List;
import java.util.Objects;
import org.jspecify.annotations.Nullable;
import org.oleanderspring.coordination.membership.Address;
import org.oleanderspring.core.fleet.EndpointId;
import org.oleanderspring.core.fleet.FailureDomain;
import org.oleanderspring.core.fleet.ServiceName;

/**
 * A runner as it registers itself.
 *
 * @param id the identity of one run of the runner's process: a restarted runner has another one
 * @param instance the name that the runner calls itself by; a restarted runner may have the same
 * @param service the service that it offers
 * @param address where it listens
 * @param failureDomain where it runs
 * @param slots how many requests it runs at once
 * @param draining whether it is about to leave
 * @param remainingTime how long it still runs at most, or null if it did not say
 * @param models the models that it holds
 * @param copies the weights that lie near it
 */
public record RunnerRegistration(
        EndpointId id,
        String instance,
        ServiceName service,
        Address address,
        FailureDomain failureDomain,
        int slots,
        boolean draining,
        @Nullable Duration remainingTime,
        List<HeldModel> models,
        CachedWeights copies) {
    /** Copies the models. */
    public RunnerRegistration {
        Objects.requireNonNull(id, "id");
        Objects.requireNonNull(instance, "instance");
        Objects.requireNonNull(service, "service");
        Objects.requireNonNull(address, "address");
        Objects.requireNonNull(failureDomain, "failureDomain");
        models = List.copyOf(models);
        Objects.requireNonNull(copies, "copies");
    }
}
