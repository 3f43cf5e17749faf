package org.oleanderspring.core.review.query;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.oleanderspring.core.message.ErrorMessage;
import org.oleanderspring.core.review.Finding;
import org.oleanderspring.core.route.FleetConfiguration;
import org.oleanderspring.core.route.Route;
import org.oleanderspring.core.route.ServiceShare;
import org.oleanderspring.core.route.query.RouteIndex;

/**
 * Finds routes, shares and services that no request can reach. Which route a request takes is asked
 * from the index that daemons use, so that both agree.
 */
final class RouteMatchCheck implements ConfigurationCheck {
    @Override
    public List<Finding> check(FleetConfiguration configuration) {
        List<Finding> findings = new ArrayList<>();
        RouteIndex index = new RouteIndex(configuration);
        Set<String> used = new HashSet<>();
        for (Route route : configuration.routes()) {
            checkMatch(route, index, findings);
            for (ServiceShare share : route.shares()) {
                used.add(share.service().value());
                checkShare(route, share, configuration, findings);
            }
        }
        configuration.services().keySet().stream()
                .map(service -> service.value())
                .filter(service -> !used.contains(service))
                .sorted()
                .map(service -> Finding.of(ErrorMessage.UNUSED_SERVICE, "service " + service))
                .forEach(findings::add);
        return findings;
    }

    private static void checkMatch(Route route, RouteIndex index, List<Finding> findings) {
        Optional<Route> match = index.find(route.host(), route.prefix());
        if (match.isPresent() && !match.get().name().equals(route.name())) {
            findings.add(
                    Finding.of(
                            ErrorMessage.SHADOWED_ROUTE,
                            "route " + route.name(),
                            match.get().name()));
        }
    }

    private static void checkShare(
            Route route,
            ServiceShare share,
            FleetConfiguration configuration,
            List<Finding> findings) {
        String entry = "route " + route.name();
        if (!configuration.services().containsKey(share.service())) {
            findings.add(Finding.of(ErrorMessage.UNKNOWN_SERVICE, entry, share.service().value()));
        }
        if (share.weight() == 0 && route.shares().size() > 1) {
            findings.add(
                    Finding.of(ErrorMessage.SHARE_WITHOUT_WEIGHT, entry, share.service().value()));
        }
    }
}
