package org.oleanderspring.core.placement.command;

import java.time.Instant;
import java.util.Collection;
import java.util.TreeMap;
import org.jspecify.annotations.Nullable;
import org.oleanderspring.core.fleet.ModelName;

/** The pending wakes, one per model or adapter. */
final class PendingActivations {
    private final TreeMap<ModelName, ModelActivation> mActivations = new TreeMap<>();

    /**
     * Merges a request into the wake of its model. The estimate is reported again, so that the
     * requesting daemon receives it.
     */
    void addRequest(PlacementEvent.ActivationRequested event, Instant now) {
        ModelActivation wake =
                mActivations.computeIfAbsent(
                        event.model(), model -> new ModelActivation(model, now));
        wake.addRequest(event.daemon(), event.earliestDeadline(), event.waiting());
        wake.setLastEstimate(null);
    }

    /** Removes the wakes without waiting calls. */
    void expire(Instant now) {
        mActivations.values().removeIf(wake -> wake.expire(now));
    }

    void remove(ModelName model) {
        mActivations.remove(model);
    }

    /** Returns the wake of a model or adapter, or null. */
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
