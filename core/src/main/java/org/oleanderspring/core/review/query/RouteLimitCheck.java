package org.oleanderspring.core.review.query;

import java.util.ArrayList;
import java.util.List;
import org.oleanderspring.core.message.ErrorMessage;
import org.oleanderspring.core.review.Finding;
import org.oleanderspring.core.route.FleetConfiguration;
import org.oleanderspring.core.route.Route;
import org.oleanderspring.core.route.RouteKind;

/** Finds routes whose times or attempts contradict each other. */
final class RouteLimitCheck implements ConfigurationCheck {
    @Override
    public List<Finding> check(FleetConfiguration configuration) {
        List<Finding> findings = new ArrayList<>();
        for (Route route : configuration.routes()) {
            checkTimes(route, findings);
            checkAttempts(route, findings);
        }
        return findings;
    }

    private static void checkTimes(Route route, List<Finding> findings) {
        if (route.timeout().compareTo(route.targetLatency()) < 0) {
            findings.add(
                    Finding.of(
                            ErrorMessage.TIMEOUT_BELOW_OBJECTIVE,
                            "route " + route.name(),
                            Long.toString(route.timeout().toMillis()),
                            Long.toString(route.targetLatency().toMillis())));
        }
    }

    /** A request that may run once only gets one attempt, unless a runner did not run it. */
    private static void checkAttempts(Route route, List<Finding> findings) {
        boolean mayRunOnce =
                route.kind() == RouteKind.NON_IDEMPOTENT
                        || route.kind() == RouteKind.STREAMING && !route.resumable();
        if (mayRunOnce && route.attemptLimit() > 1) {
            findings.add(
                    Finding.of(
                            ErrorMessage.ATTEMPTS_OF_UNREPEATABLE_ROUTE,
                            "route " + route.name(),
                            Integer.toString(route.attemptLimit())));
        }
    }
}
