package org.oleanderspring.core.fleet;

import java.util.Objects;

/**
 * The name of a model or of an adapter.
 *
 * @param value the name
 */
public record ModelName(String value) implements Comparable<ModelName> {
    /** Checks for a missing value. */
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
