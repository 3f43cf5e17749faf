package org.oleanderspring.core.fleet;

import java.util.Objects;

/**
 * The name of a model or adapter.
 *
 * @param value the name
 */
public record ModelName(String value) implements Comparable<ModelName> {
    /** Rejects a null value. */
    public ModelName {
        Objects.requireNonNull(value, "value");
    }

    @Override
    public int compareTo(ModelName other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
