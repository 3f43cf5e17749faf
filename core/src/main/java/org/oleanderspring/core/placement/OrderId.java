package org.oleanderspring.core.placement;

import java.util.Objects;

/**
 * The identity of an order to a runner; never used again.
 *
 * @param value the identity
 */
public record OrderId(String value) {
    /** Checks for a missing value. */
    public OrderId {
        Objects.requireNonNull(value, "value");
    }

    @Override
    public String toString() {
        return value;
    }
}
