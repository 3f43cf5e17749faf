package org.oleanderspring.core.permit.command;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.oleanderspring.core.fleet.EndpointId;
import org.oleanderspring.core.permit.PermitGrant;
import org.oleanderspring.core.permit.PermitRequest;

/**
 * Issues the permits for calls to endpoints that limit their rate.
 *
 * <p>Each permit has a time at which its call may start, and these times are one interval of the
 * limit apart, whichever daemon they go to. So the sum over all daemons keeps the limit, and a
 * daemon with many callers gets more than one with few, without a division in advance. The daemon
 * learns the time together with the permit, so it knows which calls can still be served in time.
 *
 * <p>Times are assigned {@link #HORIZON} ahead at most. A permit whose caller leaves is wasted, and
 * one that is assigned later meets better information. Used by one thread.
 */
public final class PermitIssuer {
    /** How far ahead times are assigned. */
    public static final Duration HORIZON = Duration.ofSeconds(1);

    /** After this time without a request, an endpoint is forgotten. */
    private static final Duration RETENTION = Duration.ofMinutes(1);

    private final Map<EndpointId, Instant> mNextStarts = new HashMap<>();

    /** Creates an issuer that has issued nothing. */
    public PermitIssuer() {}

    /**
     * Issues permits.
     *
     * @param request the request
     * @param now the current time
     */
    public PermitGrant issue(PermitRequest request, Instant now) {
        Duration interval = request.limit().interval(request.rank().share());
        Instant next = later(mNextStarts.getOrDefault(request.endpoint(), now), now);
        List<Duration> startsIn = new ArrayList<>();
        while (startsIn.size() < request.count() && !next.isAfter(now.plus(HORIZON))) {
            startsIn.add(Duration.between(now, next));
            next = next.plus(interval);
        }
        mNextStarts.put(request.endpoint(), next);
        return new PermitGrant(request.endpoint(), startsIn, Duration.between(now, next));
    }

    /**
     * Forgets the endpoints for which nobody has asked lately.
     *
     * @param now the current time
     */
    public void expire(Instant now) {
        mNextStarts.values().removeIf(next -> next.plus(RETENTION).isBefore(now));
    }

    private static Instant later(Instant first, Instant second) {
        return first.isAfter(second) ? first : second;
    }
}
