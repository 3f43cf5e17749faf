package org.oleanderspring.core.route;

import java.util.Objects;
import org.oleanderspring.core.fleet.ServiceName;

/**
 * The part of a route's requests that goes to one service.
 *
 * @param service the service
 * @param weight its part, relative to the weights of the other services of the route
 */
public record ServiceShare(ServiceName service, int weight) {
    /** Checks the range. */
    public ServiceShare {
        Objects.requireNonNull(service, "service");
        if (weight < 0) {
            throw new IllegalArgumentException("weight is negative: " + weight);
        }
    }
}
