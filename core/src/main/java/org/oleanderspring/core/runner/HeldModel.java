package org.oleanderspring.core.runner;

import java.util.Objects;
import java.util.Set;
import org.oleanderspring.core.fleet.ModelName;

/**
 * A model that a runner holds.
 *
 * @param name the model
 * @param adapters its adapters that the runner holds too
 */
public record HeldModel(ModelName name, Set<String> adapters) {
    /** Copies the adapters. */
    public HeldModel {
        Objects.requireNonNull(name, "name");
        adapters = Set.copyOf(adapters);
    }
}
