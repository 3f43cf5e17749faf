package org.oleanderspring.core.runner;

import java.util.List;
import java.util.Objects;
import java.util.Set;
import org.oleanderspring.core.fleet.ModelReference;

/**
 * The state of a runner as reported by the runner on request.
 *
 * @param models the models that it has loaded
 * @param incomingAdapters the adapters that are being loaded
 * @param cachedWeights the weights cached on its VM
 * @param orderInProgress whether it is carrying out an order that concerns a model
 * @param orders the number of orders that it has accepted since its start
 * @param active the number of running requests
 * @param queued the number of waiting requests
 */
public record RunnerState(
        List<LoadedModel> models,
        Set<ModelReference> incomingAdapters,
        CachedWeights cachedWeights,
        boolean orderInProgress,
        long orders,
        int active,
        int queued) {
    /** Copies the collections. */
    public RunnerState {
        models = List.copyOf(models);
        incomingAdapters = Set.copyOf(incomingAdapters);
        Objects.requireNonNull(cachedWeights, "cachedWeights");
    }
}
