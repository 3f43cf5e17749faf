package org.oleanderspring.core.fleet;

import java.util.Objects;

/**
 * The name of a set of endpoints whose placement has one owner at a time.
 *
 * @param value the name
 */
public record CellName(String value) implements Comparable<CellName> {
    /** Checks for a missing value. */
    public CellName {
        Objects.requireNonNull(value, "value");
    }

    @Override
    public int compareTo(CellName other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
