package org.oleanderspring.core.route;

import java.time.Duration;
import java.util.List;
import java.util.Objects;
import org.oleanderspring.core.fleet.ServiceName;

/**
 * Maps the requests of one host and path prefix to services, with the rules for their treatment.
 *
 * @param name the name given by operators
 * @param host the host name in the request
 * @param prefix the path prefix; begins and ends with a slash
 * @param kind how its requests may be repeated
 * @param timeout the maximum time until a response is complete
 * @param targetLatency the time within which a response meets the service level objective
 * @param callerPatience the time after which callers disconnect if the response has not begun
 * @param priority the priority class of its requests; 0 is the most urgent. The gateway negates it
 *     for routing, where a higher number goes first
 * @param shares the services that serve the route, with their weights
 * @param attemptLimit the maximum number of runners to which a request may be sent
 * @param resumable whether an interrupted stream may be resumed on another runner
 * @param anonymous whether its callers need no API key although the configuration names
 *     organisations
 */
public record Route(
        String name,
        String host,
        String prefix,
        RouteKind kind,
        Duration timeout,
        Duration targetLatency,
        Duration callerPatience,
        int priority,
        List<ServiceShare> shares,
        int attemptLimit,
        boolean resumable,
        boolean anonymous) {
    /**
     * Rejects null components, a prefix without slashes at both ends, an empty list of services, an
     * attempt limit below 1 and a timeout that is not positive.
     */
    public Route {
        Objects.requireNonNull(name, "name");
        Objects.requireNonNull(host, "host");
        Objects.requireNonNull(kind, "kind");
        Objects.requireNonNull(timeout, "timeout");
        Objects.requireNonNull(targetLatency, "targetLatency");
        Objects.requireNonNull(callerPatience, "callerPatience");
        shares = List.copyOf(shares);
        if (!prefix.startsWith("/") || !prefix.endsWith("/")) {
            throw new IllegalArgumentException(
                    "prefix of route " + name + " does not begin and end with a slash: " + prefix);
        }
        if (shares.isEmpty() || attemptLimit < 1 || timeout.isNegative() || timeout.isZero()) {
            throw new IllegalArgumentException(
                    "route "
                            + name
                            + " is out of range: "
                            + shares.size()
                            + " services, "
                            + attemptLimit
                            + " attempts, timeout "
                            + timeout
                            + "; allowed: at least 1 service, at least 1 attempt, a positive"
                            + " timeout");
        }
    }

    /**
     * Selects the service of one request by weight, or the first service if all weights are 0.
     * Equal hashes always select the same service, so that every component that handles the request
     * selects the same one.
     *
     * @param requestHash a hash of the request, evenly distributed over the requests
     */
    public ServiceName serviceOf(long requestHash) {
        long total = 0;
        for (ServiceShare share : shares) {
            total += share.weight();
        }
        long position = total == 0 ? 0 : Math.floorMod(requestHash, total);
        for (ServiceShare share : shares) {
            position -= share.weight();
            if (position < 0) {
                return share.service();
            }
        }
        return shares.get(0).service();
    }
}
