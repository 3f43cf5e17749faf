package org.oleanderspring.core.fleet;

import java.util.Objects;
import org.jspecify.annotations.Nullable;

/**
 * The weights of a model or of an adapter, as the weight store lists them.
 *
 * @param name the name of the model or adapter
 * @param base the model that an adapter extends, or null for a model
 * @param version the version to load
 * @param memoryMegabytes the memory that the loaded weights take
 */
public record Checkpoint(
        ModelName name, @Nullable ModelName base, String version, long memoryMegabytes) {
    /** Checks the size. */
    public Checkpoint {
        Objects.requireNonNull(name, "name");
        Objects.requireNonNull(version, "version");
        if (memoryMegabytes <= 0) {
            throw new IllegalArgumentException("memory is not positive: " + memoryMegabytes);
        }
    }

    /** Returns whether the checkpoint extends another model. */
    public boolean isAdapter() {
        return base != null;
    }
}
