package org.oleanderspring.core.fleet;

import java.time.Duration;

/**
 * The rate of calls that an endpoint takes from all daemons together.
 *
 * @param callsPerSecond the number of calls in a second
 */
public record RateLimit(double callsPerSecond) {
    /**
     * The lowest rate. An endpoint that takes nothing at all could not say any more that its limit
     * has ended.
     */
    public static final double LEAST = 0.2;

    /** The highest rate; beyond it a limit has no effect. */
    public static final double MOST = 1_000_000;

    private static final double NANOS_PER_SECOND = 1e9;

    /** Rejects a rate outside of {@link #LEAST} and {@link #MOST}. */
    public RateLimit {
        if (!(callsPerSecond >= LEAST && callsPerSecond <= MOST)) {
            throw new IllegalArgumentException("rate is out of range: " + callsPerSecond);
        }
    }

    /**
     * Returns the limit that is nearest to a rate.
     *
     * @param callsPerSecond the rate, at least 0
     */
    public static RateLimit nearest(double callsPerSecond) {
        return new RateLimit(Math.max(LEAST, Math.min(MOST, callsPerSecond)));
    }

    /** Returns the average time between two calls. */
    public Duration interval() {
        return interval(1);
    }

    /**
     * Returns the average time between two calls of somebody who has a share of the limit.
     *
     * @param share the share, above 0 and at most 1
     */
    public Duration interval(double share) {
        return Duration.ofNanos((long) (NANOS_PER_SECOND / (callsPerSecond * share)));
    }
}
