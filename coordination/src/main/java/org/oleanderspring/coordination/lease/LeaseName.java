package org.oleanderspring.coordination.lease;

import java.util.Objects;

/**
 * The name of a leased resource, for example a cell.
 *
 * @param value the name
 */
public record LeaseName(String value) implements Comparable<LeaseName> {
    /** Rejects a blank name. */
    public LeaseName {
        Objects.requireNonNull(value, "value");
        if (value.isBlank()) {
            throw new IllegalArgumentException("lease name is blank");
        }
    }

    @Override
    public int compareTo(LeaseName other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
