package org.oleanderspring.core.route;

import java.util.Objects;
import org.jspecify.annotations.Nullable;
import org.oleanderspring.core.fleet.ServiceName;

/**
 * A service that runners offer.
 *
 * @param name the name
 * @param healthPath where a runner answers health checks
 * @param connectionLimit how many connections a runner accepts from all daemons together
 * @param engine the model engines, or null for a plain service
 */
public record ServiceDescription(
        ServiceName name,
        String healthPath,
        int connectionLimit,
        @Nullable EngineDescription engine) {
    /** Checks the parts. */
    public ServiceDescription {
        Objects.requireNonNull(name, "name");
        Objects.requireNonNull(healthPath, "healthPath");
        if (connectionLimit < 1) {
            throw new IllegalArgumentException("connection limit of " + name + " is not positive");
        }
    }
}
