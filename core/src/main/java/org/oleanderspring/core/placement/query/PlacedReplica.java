package org.oleanderspring.core.placement.query;

import java.util.Objects;
import org.oleanderspring.core.fleet.Endpoint;
import org.oleanderspring.core.fleet.ModelName;

/**
 * A replica that is visible to routers: either ready for calls or draining.
 *
 * @param name the model or adapter
 * @param endpoint the runner
 * @param draining whether the replica finishes its active calls and takes no new ones
 */
public record PlacedReplica(ModelName name, Endpoint endpoint, boolean draining) {
    /** Rejects null components. */
    public PlacedReplica {
        Objects.requireNonNull(name, "name");
        Objects.requireNonNull(endpoint, "endpoint");
    }
}
