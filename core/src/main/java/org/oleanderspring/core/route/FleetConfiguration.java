package org.oleanderspring.core.route;

import java.util.List;
import java.util.Map;
import java.util.Objects;
import org.oleanderspring.core.fleet.ServiceName;
import org.oleanderspring.core.organisation.Organisation;

/**
 * One complete version of the configuration written by operators.
 *
 * @param version the version number; later versions have higher numbers
 * @param routes the routes
 * @param services the services by name
 * @param limits the limits for requests of callers
 * @param organisations the organisations whose callers may send requests; empty if callers need no
 *     API key
 */
public record FleetConfiguration(
        long version,
        List<Route> routes,
        Map<ServiceName, ServiceDescription> services,
        IngressLimits limits,
        List<Organisation> organisations) {
    /** Copies the collections. */
    public FleetConfiguration {
        routes = List.copyOf(routes);
        services = Map.copyOf(services);
        Objects.requireNonNull(limits, "limits");
        organisations = List.copyOf(organisations);
    }

    /**
     * Creates a configuration whose callers need no API key.
     *
     * @param version the version number
     * @param routes the routes
     * @param services the services by name
     * @param limits the limits for requests of callers
     */
    public FleetConfiguration(
            long version,
            List<Route> routes,
            Map<ServiceName, ServiceDescription> services,
            IngressLimits limits) {
        this(version, routes, services, limits, List.of());
    }
}
