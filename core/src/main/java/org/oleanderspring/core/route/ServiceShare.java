package org.oleanderspring.core.route;

import java.util.Objects;
import org.oleanderspring.core.fleet.ServiceName;

/**
 * The share of the requests of a route that goes to one service.
 *
 * @param service the service
 * @param weight the share of the service, relative to the weights of the other services of the
 *     route
 */
public record ServiceShare(ServiceName service, int weight) {
    /** Rejects a negative weight. */
    public ServiceShare {
        Objects.requireNonNull(service, "service");
        if (weight < 0) {
            throw new IllegalArgumentException("weight of " + service + " is negative: " + weight);
        }
    }
}
