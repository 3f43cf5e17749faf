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
 * A runner as registered by the runner itself.
 *
 * @param id the identity of this run of the runner's process; a restarted runner has a new one
 * @param instance the name that the runner gives itself; a restarted runner may keep its name
 * @param service the service that it offers
 * @param address the address on which it listens
 * @param failureDomain its failure domain
 * @param slots the number of requests that it runs at a time
 * @param draining whether it is about to shut down and accepts no new requests
 * @param remainingTime the maximum time for which it still runs, or null if unspecified
 * @param models the models that it has loaded
 * @param cachedWeights the weights cached on its VM
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
        List<LoadedModel> models,
        CachedWeights cachedWeights) {
    /**
     * The largest number of slots that is accepted. The sum over all runners of a service must not
     * overflow, and no runner takes nearly as many calls at once.
     */
    public static final int MAX_SLOTS = 100_000;

    /**
     * Copies the models; rejects null components, except for the remaining time, and a number of
     * slots that is negative or above {@link #MAX_SLOTS}.
     */
    public RunnerRegistration {
        Objects.requireNonNull(id, "id");
        Objects.requireNonNull(instance, "instance");
        Objects.requireNonNull(service, "service");
        Objects.requireNonNull(address, "address");
        Objects.requireNonNull(failureDomain, "failureDomain");
        models = List.copyOf(models);
        Objects.requireNonNull(cachedWeights, "cachedWeights");
        if (slots < 0 || slots > MAX_SLOTS) {
            throw new IllegalArgumentException("number of slots is out of range: " + slots);
        }
    }
}
