package org.oleanderspring.core.fleet;

/** What an endpoint says about the rate of calls that it takes. */
public sealed interface StatedLimit {
    /** The endpoint names no limit, which ends an earlier one. */
    record Unlimited() implements StatedLimit {}

    /**
     * The endpoint names a limit.
     *
     * @param callsPerSecond the named number of calls in a second, at least 0
     */
    record Limited(double callsPerSecond) implements StatedLimit {
        /** Rejects what is no rate. */
        public Limited {
            if (!(callsPerSecond >= 0)) {
                throw new IllegalArgumentException("no rate: " + callsPerSecond);
            }
        }

        /** Returns the limit that is kept. */
        public RateLimit limit() {
            return RateLimit.nearest(callsPerSecond);
        }
    }

    /**
     * The endpoint names a limit that cannot be read. An earlier limit stays as it is.
     *
     * @param text what it says, for the log
     */
    record Unreadable(String text) implements StatedLimit {}
}
