package org.oleanderspring.core.fleet;

import java.util.Objects;

/**
 * The identity of a VM.
 *
 * @param value the identity
 */
public record VmId(String value) {
    /** Rejects a null value. */
    public VmId {
        Objects.requireNonNull(value, "value");
    }

    @Override
    public String toString() {
        return value;
    }
}
