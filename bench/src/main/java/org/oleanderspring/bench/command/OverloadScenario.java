package org.oleanderspring.bench.command;

import java.time.Duration;

/**
 * The calls that are offered and the replicas that answer them.
 *
 * @param load offered calls as a multiple of what the replicas can answer
 * @param coldFor how long the model takes to load; zero if it is loaded from the start
 * @param refusing the share of attempts that a replica refuses because other daemons fill it
 * @param seed determines arrivals, deadlines, service times and pauses of callers
 */
record OverloadScenario(double load, Duration coldFor, double refusing, long seed) {
    /** Replicas of the model. */
    static final int REPLICAS = 8;

    /** Calls that a replica runs at a time. */
    static final int CONCURRENCY = 4;

    /** The mean time from the start of an attempt to the first byte of its answer. */
    static final Duration MEAN_FIRST_BYTE = Duration.ofMillis(200);

    /** The mean time from the first byte of an answer to its last one. */
    static final Duration MEAN_REST = Duration.ofMillis(600);

    /** The spread of both times: the standard deviation of their logarithm. */
    static final double SPREAD = 0.8;

    /** The shortest time that a caller waits for the beginning of an answer. */
    static final Duration SHORTEST_PATIENCE = Duration.ofMillis(500);

    /** The longest time that a caller waits for the beginning of an answer. */
    static final Duration LONGEST_PATIENCE = Duration.ofSeconds(4);

    /** How long calls are offered. */
    static final Duration LENGTH = Duration.ofSeconds(120);

    /** Returns the mean time between two offered calls. */
    Duration meanGap() {
        Duration service = MEAN_FIRST_BYTE.plus(MEAN_REST);
        return Duration.ofNanos((long) (service.toNanos() / (load * REPLICAS * CONCURRENCY)));
    }
}
