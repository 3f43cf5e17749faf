package org.oleanderspring.core.placement.command;

import java.time.Instant;
import java.util.Collection;
import java.util.TreeMap;
import org.jspecify.annotations.Nullable;
import org.oleanderspring.core.fleet.ModelName;

/** The pending activations, one per model or adapter. */
final class PendingActivations {
    private final TreeMap<ModelName, ModelActivation> mActivations = new TreeMap<>();

    /**
     * Merges a request into the activation of its model. The estimate is reported again, so that
     * the requesting daemon receives it.
     */
    void addRequest(PlacementEvent.ActivationRequested event, Instant now) {
        ModelActivation activation =
                mActivations.computeIfAbsent(
                        event.model(), model -> new ModelActivation(model, now));
        activation.addRequest(event.daemon(), event.earliestDeadline(), event.waiting());
        activation.setLastEstimate(null);
    }

    /** Removes the activations without waiting calls. */
    void expire(Instant now) {
        mActivations.values().removeIf(activation -> activation.expire(now));
    }

    void remove(ModelName model) {
        mActivations.remove(model);
    }

    /** Returns the activation of a model or adapter, or null. */
    @Nullable ModelActivation of(ModelName model) {
        return mActivations.get(model);
    }

    boolean contains(ModelName model) {
        return mActivations.containsKey(model);
    }

    Collection<ModelActivation> all() {
        return mActivations.values();
    }

    void clear() {
        mActivations.clear();
    }
}
