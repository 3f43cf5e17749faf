package org.oleanderspring.core.directory;

import java.util.Objects;
import org.jspecify.annotations.Nullable;
import org.oleanderspring.core.fleet.FailureDomain;

/**
 * A daemon to which callers may connect.
 *
 * @param address its address, as callers are told
 * @param failureDomain its failure domain, or null if it has not said it
 * @param capacity its capacity, or null if it has not said it
 */
public record DaemonListing(
        String address, @Nullable FailureDomain failureDomain, @Nullable DaemonCapacity capacity) {
    /** Rejects a null address. */
    public DaemonListing {
        Objects.requireNonNull(address, "address");
    }
}
