package org.oleanderspring.core.share;

import java.time.Duration;
import java.util.Objects;

/**
 * The reply to a {@link ShareRequest}.
 *
 * @param key the rate
 * @param number the number of the request
 * @param units the units that may be used
 * @param availableIn the time after which the first call that was not served could be, if no other
 *     call comes first; zero if all were served
 */
public record ShareGrant(RateKey key, long number, double units, Duration availableIn) {
    /** Rejects null components and amounts that are negative or not finite. */
    public ShareGrant {
        Objects.requireNonNull(key, "key");
        Objects.requireNonNull(availableIn, "availableIn");
        if (!(units >= 0) || Double.isInfinite(units) || availableIn.isNegative()) {
            throw new IllegalArgumentException("grant: " + units + ", " + availableIn);
        }
    }
}
