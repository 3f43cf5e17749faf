package org.oleanderspring.core.route;

import java.util.List;
import java.util.Map;
import java.util.Objects;
import org.oleanderspring.core.fleet.ServiceName;

/**
 * One complete version of the configuration written by operators.
 *
 * @param version the version number; later versions have higher numbers
 * @param routes the routes
 * @param services the services by name
 * @param limits the limits for requests of callers
 */
public record FleetConfiguration(
        long version,
        List<Route> routes,
        Map<ServiceName, ServiceDescription> services,
        IngressLimits limits) {
    /** Copies the collections. */
    public FleetConfiguration {
        routes = List.copyOf(routes);
        services = Map.copyOf(services);
        Objects.requireNonNull(limits, "limits");
    }
}
