package org.oleanderspring.core.placement.command;

import java.time.Instant;
import java.util.Collection;
import java.util.TreeMap;
import org.jspecify.annotations.Nullable;
import org.oleanderspring.core.fleet.ModelName;

/** The wakes that are not served yet, one for each model. */
final class PendingActivations {
    private final TreeMap<ModelName, ModelActivation> mWakes = new TreeMap<>();

    /** Merges a request; the estimate is told again to the daemon that asked. */
    void request(PlacementEvent.ActivationRequested event, Instant now) {
        ModelActivation wake =
                mWakes.computeIfAbsent(event.model(), model -> new ModelActivation(model, now));
        wake.request(event.daemon(), event.earliestDeadline(), event.waiting());
        wake.setLastEstimate(null);
    }

    /** Forgets the wakes for which nobody waits any more. */
    void expire(Instant now) {
        mWakes.values().removeIf(wake -> wake.expire(now));
    }

    void remove(ModelName model) {
        mWakes.remove(model);
    }

    /** Returns the wake of a model, or null. */
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
