package org.oleanderspring.core.placement;

import java.util.Objects;

/**
 * The unique identifier of an order to a runner. It is never reused.
 *
 * @param value the identifier
 */
public record OrderId(String value) {
    /** Rejects a null value. */
    public OrderId {
        Objects.requireNonNull(value, "value");
    }

    @Override
    public String toString() {
        return value;
    }
}
