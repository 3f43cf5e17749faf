package org.oleanderspring.core.fleet;

import java.util.Objects;

/**
 * The identity of one run of an endpoint; a restarted endpoint has a new one.
 *
 * @param value the identity
 */
public record EndpointId(String value) implements Comparable<EndpointId> {
    /** Checks for a missing value. */
    public EndpointId {
        Objects.requireNonNull(value, "value");
    }

    @Override
    public int compareTo(EndpointId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
