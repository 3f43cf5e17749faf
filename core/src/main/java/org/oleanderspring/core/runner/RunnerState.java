package org.oleanderspring.core.runner;

import java.util.List;
import java.util.Objects;
import java.util.Set;
import org.oleanderspring.core.fleet.ModelReference;

/**
 * What a runner says of itself when it is asked.
 *
 * @param models the models that it holds
 * @param incomingAdapters adapters on their way to it
 * @param copies the weights that lie near it
 * @param orderInProgress whether it is carrying out an order that concerns a model
 * @param orders how many orders it has accepted since its start
 * @param active how many requests run
 * @param queued how many requests wait
 */
public record RunnerState(
        List<HeldModel> models,
        Set<ModelReference> incomingAdapters,
        CachedWeights copies,
        boolean orderInProgress,
        long orders,
        int active,
        int queued) {
    /** Copies the collections. */
    public RunnerState {
        models = List.copyOf(models);
        incomingAdapters = Set.copyOf(incomingAdapters);
        Objects.requireNonNull(copies, "copies");
    }
}
