package org.oleanderspring.core.fleet;

import java.util.Objects;

/**
 * The name of a cell: a set of endpoints whose model placement is decided by one daemon at a time.
 *
 * @param value the name
 */
public record CellName(String value) implements Comparable<CellName> {
    /** Rejects a null value. */
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
