package org.oleanderspring.core.runner;

import java.util.Objects;
import java.util.Set;
import org.oleanderspring.core.fleet.ModelName;

/**
 * A model that is loaded on a runner.
 *
 * @param name the model
 * @param adapters the names of its loaded adapters
 */
public record LoadedModel(ModelName name, Set<String> adapters) {
    /** Copies the adapters. */
    public LoadedModel {
        Objects.requireNonNull(name, "name");
        adapters = Set.copyOf(adapters);
    }
}
