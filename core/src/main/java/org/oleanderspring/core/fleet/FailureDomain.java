package org.oleanderspring.core.fleet;

import java.util.Objects;

/**
 * A group of VMs that may fail together.
 *
 * @param name the name
 */
public record FailureDomain(String name) {
    /** Rejects a null name. */
    public FailureDomain {
        Objects.requireNonNull(name, "name");
    }

    @Override
    public String toString() {
        return name;
    }
}
