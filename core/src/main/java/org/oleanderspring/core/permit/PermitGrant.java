package org.oleanderspring.core.permit;

import java.time.Duration;
import java.util.List;
import java.util.Objects;
import org.oleanderspring.core.fleet.EndpointId;

/**
 * The reply to a {@link PermitRequest}. Times are relative to its creation.
 *
 * @param endpoint the endpoint
 * @param startsIn for each permit, the time after which its call may start
 * @param nextStartIn the time after which the call of a further permit could start
 */
public record PermitGrant(EndpointId endpoint, List<Duration> startsIn, Duration nextStartIn) {
    /** Copies the list; rejects null components. */
    public PermitGrant {
        Objects.requireNonNull(endpoint, "endpoint");
        startsIn = List.copyOf(startsIn);
        Objects.requireNonNull(nextStartIn, "nextStartIn");
    }
}
