package org.oleanderspring.core.fleet;

import java.util.Objects;

/**
 * The name of a service.
 *
 * @param value the name
 */
public record ServiceName(String value) implements Comparable<ServiceName> {
    /** Rejects a null value. */
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
