package org.oleanderspring.core.fleet;

import java.util.Objects;

/**
 * VMs that may fail together.
 *
 * @param name the name
 */
public record FailureDomain(String name) {
    /** Checks for a missing name. */
    public FailureDomain {
        Objects.requireNonNull(name, "name");
    }

    @Override
    public String toString() {
        return name;
    }
}
