package org.oleanderspring.core.route.query;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import org.oleanderspring.core.route.FleetConfiguration;
import org.oleanderspring.core.route.Route;

/** Finds the route of a request by longest path prefix among the routes of its host. */
public final class RouteIndex {
    private final Map<String, List<Route>> mByHost = new HashMap<>();

    /**
     * Creates an index of the routes of a configuration.
     *
     * @param configuration the configuration
     */
    public RouteIndex(FleetConfiguration configuration) {
        for (Route route : configuration.routes()) {
            mByHost.computeIfAbsent(normalized(route.host()), host -> new ArrayList<>()).add(route);
        }
        Comparator<Route> longestFirst =
                Comparator.comparingInt((Route route) -> route.prefix().length()).reversed();
        mByHost.values().forEach(routes -> routes.sort(longestFirst));
    }

    /**
     * Returns the route of a request, or empty if no route matches.
     *
     * @param host the host name in the request, with or without a port; upper and lower case are
     *     equal
     * @param path the path, without the query
     */
    public Optional<Route> find(String host, String path) {
        for (Route route : mByHost.getOrDefault(normalized(host), List.of())) {
            if (path.startsWith(route.prefix())) {
                return Optional.of(route);
            }
        }
        return Optional.empty();
    }

    private static String normalized(String host) {
        int port = host.lastIndexOf(':');
        String name = port < 0 ? host : host.substring(0, port);
        return name.toLowerCase(Locale.ROOT);
    }
}
