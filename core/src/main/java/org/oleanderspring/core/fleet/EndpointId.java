package org.oleanderspring.core.fleet;

import java.util.Objects;

/**
 * The identity of one run of an endpoint. A restarted endpoint has a new identity.
 *
 * @param value the identity
 */
public record EndpointId(String value) implements Comparable<EndpointId> {
    /** Rejects a null value. */
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
