package org.oleanderspring.core.directory;

import java.util.Objects;
import org.jspecify.annotations.Nullable;
import org.oleanderspring.core.fleet.FailureDomain;

/**
 * A caller that asks which daemons it may connect to.
 *
 * @param address its address; callers behind one address get one answer
 * @param failureDomain the failure domain that it is in or near, or null if it does not say
 */
public record DirectoryCaller(String address, @Nullable FailureDomain failureDomain) {
    /** Rejects a null address. */
    public DirectoryCaller {
        Objects.requireNonNull(address, "address");
    }
}
