package org.oleanderspring.core.route.query;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.oleanderspring.core.fleet.ServiceName;
import org.oleanderspring.core.route.FleetConfiguration;
import org.oleanderspring.core.route.IngressLimits;
import org.oleanderspring.core.route.Route;
import org.oleanderspring.core.route.RouteKind;
import org.oleanderspring.core.route.ServiceShare;

class RouteIndexTest {
    private static final ServiceName NEW = new ServiceName("new");
    private static final ServiceName OLD = new ServiceName("old");

    private static Route route(String name, String host, String prefix, ServiceShare... shares) {
        return new Route(
                name,
                host,
                prefix,
                RouteKind.IDEMPOTENT,
                Duration.ofSeconds(1),
                Duration.ofMillis(100),
                Duration.ofSeconds(1),
                0,
                List.of(shares),
                1,
                false,
                false);
    }

    private static Optional<String> find(String host, String path) {
        FleetConfiguration configuration =
                new FleetConfiguration(
                        1,
                        List.of(
                                route("short", "a.example", "/x/", new ServiceShare(OLD, 1)),
                                route("long", "a.example", "/x/y/", new ServiceShare(OLD, 1)),
                                route("other", "b.example", "/x/", new ServiceShare(OLD, 1))),
                        Map.of(),
                        IngressLimits.DEFAULT);
        return new RouteIndex(configuration).find(host, path).map(Route::name);
    }

    /**
     * Guards against requests that get the route of a shorter prefix or of another host, and
     * against a comparison of hosts that includes the port or distinguishes upper and lower case.
     */
    @Test
    void longestPrefixOfTheHostIsChosen() {
        assertThat(find("a.example", "/x/y/z"), is(Optional.of("long")));
        assertThat(find("a.example", "/x/yy/z"), is(Optional.of("short")));
        assertThat(find("B.example:8080", "/x/y/z"), is(Optional.of("other")));
    }

    /**
     * Guards against a prefix that matches a path without its trailing slash, and against a route
     * for a path or host that no route names.
     */
    @Test
    void pathOutsideOfAllPrefixesHasNoRoute() {
        assertThat(find("a.example", "/x"), is(Optional.empty()));
        assertThat(find("a.example", "/z/"), is(Optional.empty()));
        assertThat(find("c.example", "/x/y/z"), is(Optional.empty()));
    }

    /**
     * Guards against requests to a service of weight 0, as used for a drained service, against
     * shares that differ from the weights, and against errors with negative hashes.
     */
    @Test
    void serviceOfSharesRequestsByWeight() {
        Route route =
                route(
                        "split",
                        "a.example",
                        "/x/",
                        new ServiceShare(OLD, 3),
                        new ServiceShare(new ServiceName("drained"), 0),
                        new ServiceShare(NEW, 1));
        int toNew = 0;
        for (int requestHash = -200; requestHash < 200; requestHash++) {
            ServiceName service = route.serviceOf(requestHash);
            assertThat(service.equals(NEW) || service.equals(OLD), is(true));
            toNew += service.equals(NEW) ? 1 : 0;
        }
        assertThat(toNew, is(100));
    }
}
