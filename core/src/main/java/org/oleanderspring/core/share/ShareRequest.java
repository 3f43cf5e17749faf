package org.oleanderspring.core.share;

import java.time.Duration;
import java.util.List;
import java.util.Objects;

/**
 * A request for a part of a shared rate.
 *
 * @param key the rate
 * @param number distinguishes the requests of a daemon; the grant repeats it
 * @param costs the units that each waiting call needs, in the order in which they are served
 * @param reserve the units that are wanted for calls to come
 * @param returned the units of earlier grants that were not used and will not be
 * @param returnedAge the time since the oldest of them were asked for
 */
public record ShareRequest(
        RateKey key,
        long number,
        List<Double> costs,
        double reserve,
        double returned,
        Duration returnedAge) {
    /** The largest number of waiting calls in a request. */
    public static final int MAX_CALLS = 32;

    /** Copies the list; rejects null components, too many calls and negative amounts. */
    public ShareRequest {
        Objects.requireNonNull(key, "key");
        costs = List.copyOf(costs);
        Objects.requireNonNull(returnedAge, "returnedAge");
        if (costs.size() > MAX_CALLS) {
            throw new IllegalArgumentException("number of calls: " + costs.size());
        }
        costs.forEach(ShareRequest::requireAmount);
        requireAmount(reserve);
        requireAmount(returned);
        if (returnedAge.isNegative()) {
            throw new IllegalArgumentException("age of returned units: " + returnedAge);
        }
    }

    private static void requireAmount(double value) {
        if (!(value >= 0) || Double.isInfinite(value)) {
            throw new IllegalArgumentException("units of a shared rate: " + value);
        }
    }
}
