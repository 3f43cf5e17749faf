package org.oleanderspring.core.permit;

import java.util.Objects;
import org.oleanderspring.core.fleet.EndpointId;
import org.oleanderspring.core.fleet.RateLimit;

/**
 * A request for permits.
 *
 * @param endpoint the endpoint
 * @param count the number of calls that wait for one
 * @param limit the limit of the endpoint as the requesting daemon knows it
 * @param rank the rank of the daemon that is asked
 */
public record PermitRequest(EndpointId endpoint, int count, RateLimit limit, IssuerRank rank) {
    /** The largest number of permits in a request. */
    public static final int MAX_COUNT = 64;

    /** Rejects null components and a count outside of 1 to {@link #MAX_COUNT}. */
    public PermitRequest {
        Objects.requireNonNull(endpoint, "endpoint");
        Objects.requireNonNull(limit, "limit");
        Objects.requireNonNull(rank, "rank");
        if (count < 1 || count > MAX_COUNT) {
            throw new IllegalArgumentException("number of permits: " + count);
        }
    }
}
