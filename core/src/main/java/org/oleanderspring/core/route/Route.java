package org.oleanderspring.core.route;

import java.time.Duration;
import java.util.List;
import java.util.Objects;
import org.oleanderspring.core.fleet.ServiceName;

/**
 * Where the requests of one host and path prefix go, and how they may be treated.
 *
 * @param name the operators' name for it
 * @param host the host name that callers ask for
 * @param prefix the beginning of the path; begins and ends with a slash
 * @param kind what may be done with its requests
 * @param timeout how long a request may be kept waiting for its whole answer
 * @param targetLatency within this time an answer has its full worth
 * @param callerPatience after this time without the beginning of an answer, callers leave
 * @param priority its rank; 0 is the most urgent
 * @param shares the services that serve it
 * @param attemptLimit to so many runners a request may be sent
 * @param resumable whether a broken stream may go on at another runner
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
        boolean resumable) {
    /** Checks the parts. */
    public Route {
        Objects.requireNonNull(name, "name");
        Objects.requireNonNull(host, "host");
        Objects.requireNonNull(kind, "kind");
        Objects.requireNonNull(timeout, "timeout");
        Objects.requireNonNull(targetLatency, "targetLatency");
        Objects.requireNonNull(callerPatience, "callerPatience");
        shares = List.copyOf(shares);
        if (!prefix.startsWith("/") || !prefix.endsWith("/")) {
            throw new IllegalArgumentException("prefix has no slash at an end: " + prefix);
        }
        if (shares.isEmpty() || attemptLimit < 1 || timeout.isNegative() || timeout.isZero()) {
            throw new IllegalArgumentException("route " + name + " is out of range");
        }
    }

    /**
     * Returns the service of one request. Equal tickets get equal services, so that the parts of
     * one request's path agree.
     *
     * @param ticket a number that is evenly spread over the requests
     */
    public ServiceName serviceOf(long ticket) {
        long total = 0;
        for (ServiceShare share : shares) {
            total += share.weight();
        }
        long position = total == 0 ? 0 : Math.floorMod(ticket, total);
        for (ServiceShare share : shares) {
            position -= share.weight();
            if (position < 0) {
                return share.service();
            }
        }
        return shares.get(0).service();
    }
}
