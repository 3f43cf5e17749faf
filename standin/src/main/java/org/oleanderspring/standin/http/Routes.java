package org.oleanderspring.standin.http;

import java.util.ArrayList;
import java.util.List;
import org.jspecify.annotations.Nullable;

/** A routing table; the first route that matches a request is used. */
public final class Routes {
    private static final String ANY_METHOD = "*";

    private final List<Route> mRoutes = new ArrayList<>();

    /**
     * Adds a route.
     *
     * @param method the HTTP method, or {@code *} for any
     * @param path the path, which may contain one {@code *} as a wildcard for any text, also for
     *     none and for text with slashes
     * @param resource the handler of the requests
     * @return this
     */
    public Routes add(String method, String path, Resource resource) {
        mRoutes.add(new Route(method, path, resource));
        return this;
    }

    @Nullable Resource find(String method, String path) {
        for (Route route : mRoutes) {
            if (route.matches(method, path)) {
                return route.resource();
            }
        }
        return null;
    }

    private record Route(String method, String path, Resource resource) {
        boolean matches(String requestMethod, String requestPath) {
            if (!method.equals(ANY_METHOD) && !method.equals(requestMethod)) {
                return false;
            }
            int wildcard = path.indexOf('*');
            if (wildcard < 0) {
                return path.equals(requestPath);
            }
            return requestPath.startsWith(path.substring(0, wildcard))
                    && requestPath.endsWith(path.substring(wildcard + 1));
        }
    }
}
