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

/** Finds the route of a request: the longest prefix of its path among the routes of its host. */
public final class RouteIndex {
    private final Map<String, List<Route>> mByHost = new HashMap<>();

    /**
     * Creates an index.
     *
     * @param configuration the configuration whose routes are indexed
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
     * Returns the route of a request, or nothing if there is none.
     *
     * @param host the host that the request names, with or without a port
     * @param path the path, without a query
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
