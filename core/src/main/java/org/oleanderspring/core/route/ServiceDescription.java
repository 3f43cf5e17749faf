package org.oleanderspring.core.route;

import java.util.Objects;
import org.jspecify.annotations.Nullable;
import org.oleanderspring.core.fleet.ServiceName;

/**
 * A service offered by runners.
 *
 * @param name the name of the service
 * @param healthPath the path on which a runner serves health checks
 * @param connectionLimit the maximum number of connections that a runner accepts from all daemons
 *     together
 * @param engine the model engines of the service, or null for a plain service
 */
public record ServiceDescription(
        ServiceName name,
        String healthPath,
        int connectionLimit,
        @Nullable EngineDescription engine) {
    /** Rejects null components, except for the engine, and a connection limit below 1. */
    public ServiceDescription {
        Objects.requireNonNull(name, "name");
        Objects.requireNonNull(healthPath, "healthPath");
        if (connectionLimit < 1) {
            throw new IllegalArgumentException(
                    "connection limit of " + name + " is not positive: " + connectionLimit);
        }
    }
}
