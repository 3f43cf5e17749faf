package org.oleanderspring.core.placement.command;

import java.time.Instant;
import java.util.Collection;
import java.util.TreeMap;
import org.jspecify.annotations.Nullable;
import org.oleanderspring.core.fleet.ModelName;

/** The pending wakes, one per model or adapter. */
final class PendingActivations {
    private final TreeMap<ModelName, ModelActivation> mWakes = new TreeMap<>();

    /**
     * Merges a request into the wake of its model. The estimate is reported again, so that the
     * requesting daemon receives it.
     */
    void request(PlacementEvent.ActivationRequested event, Instant now) {
        ModelActivation wake =
                mWakes.computeIfAbsent(event.model(), model -> new ModelActivation(model, now));
        wake.request(event.daemon(), event.earliestDeadline(), event.waiting());
        wake.setLastEstimate(null);
    }

    /** Removes the wakes without waiting calls. */
    void expire(Instant now) {
        mWakes.values().removeIf(wake -> wake.expire(now));
    }

    void remove(ModelName model) {
        mWakes.remove(model);
    }

    /** Returns the wake of a model or adapter, or null. */
    @Nullable ModelActivation of(ModelName model) {
        return mWakes.get(model);
    }

    boolean contains(ModelName model) {
        return mWakes.containsKey(model);
    }

    Collection<ModelActivation> all() {
        return mWakes.values();
    }

    void clear() {
        mWakes.clear();
    }
}
