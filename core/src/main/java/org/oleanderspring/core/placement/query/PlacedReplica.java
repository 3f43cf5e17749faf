package org.oleanderspring.core.placement.query;

import java.util.Objects;
import org.oleanderspring.core.fleet.Endpoint;
import org.oleanderspring.core.fleet.ModelName;

/**
 * A replica that routers may know: ready for calls, or finishing its last ones.
 *
 * @param name the model or adapter
 * @param endpoint the runner
 * @param draining whether it takes no new calls
 */
public record PlacedReplica(ModelName name, Endpoint endpoint, boolean draining) {
    /** Checks for missing parts. */
    public PlacedReplica {
        Objects.requireNonNull(name, "name");
        Objects.requireNonNull(endpoint, "endpoint");
    }
}
