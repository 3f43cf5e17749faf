package org.oleanderspring.core.fleet;

import java.util.Objects;
import org.jspecify.annotations.Nullable;

/**
 * The weights of a model or adapter as listed by the weight store.
 *
 * @param name the name of the model or adapter
 * @param base the model that the adapter extends, or null for a model
 * @param version the version to load
 * @param memoryMegabytes the memory that the loaded weights occupy; positive
 */
public record Checkpoint(
        ModelName name, @Nullable ModelName base, String version, long memoryMegabytes) {
    /** Rejects null components, except for the base, and a size that is not positive. */
    public Checkpoint {
        Objects.requireNonNull(name, "name");
        Objects.requireNonNull(version, "version");
        if (memoryMegabytes <= 0) {
            throw new IllegalArgumentException(
                    "memory of " + name + " is not positive: " + memoryMegabytes);
        }
    }

    /** Returns whether the checkpoint is an adapter rather than a model. */
    public boolean isAdapter() {
        return base != null;
    }
}
