package org.oleanderspring.core.fleet;

import java.util.Objects;

/**
 * The name of a plain service.
 *
 * @param value the name
 */
public record ServiceName(String value) implements Comparable<ServiceName> {
    /** Checks for a missing value. */
    public ServiceName {
        Objects.requireNonNull(value, "value");
    }

    @Override
    public int compareTo(ServiceName other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
