package org.oleanderspring.bench.command;

import java.time.Duration;

/**
 * The load that is offered and the replicas that serve it.
 *
 * @param offeredLoad the rate of offered calls as a multiple of the capacity of the replicas
 * @param loadTime how long the model takes to load; zero if it is loaded at the start
 * @param refusedShare the share of attempts that a replica refuses because calls of other daemons
 *     use its capacity
 * @param seed the random seed of arrivals, deadlines, service times, refusals and caller back-off
 */
record OverloadScenario(double offeredLoad, Duration loadTime, double refusedShare, long seed) {
    /** The number of replicas of the model. */
    static final int REPLICAS = 8;

    /** The number of calls that a replica runs concurrently. */
    static final int CONCURRENCY = 4;

    /** The mean time from the start of an attempt to the first byte of its answer. */
    static final Duration MEAN_TIME_TO_FIRST_BYTE = Duration.ofMillis(200);

    /** The mean time from the first byte of an answer to its last one. */
    static final Duration MEAN_TIME_AFTER_FIRST_BYTE = Duration.ofMillis(600);

    /**
     * The standard deviation of the logarithm of both times, which are log-normally distributed.
     */
    static final double LOG_STANDARD_DEVIATION = 0.8;

    /** The shortest time that a caller waits for the beginning of an answer. */
    static final Duration MIN_CALLER_TIMEOUT = Duration.ofMillis(500);

    /** The longest time that a caller waits for the beginning of an answer. */
    static final Duration MAX_CALLER_TIMEOUT = Duration.ofSeconds(4);

    /** The virtual time during which calls are offered. */
    static final Duration OFFER_TIME = Duration.ofSeconds(120);

    /** Returns the mean time between the arrivals of two calls. */
    Duration meanInterarrivalTime() {
        Duration meanServiceTime = MEAN_TIME_TO_FIRST_BYTE.plus(MEAN_TIME_AFTER_FIRST_BYTE);
        return Duration.ofNanos(
                (long) (meanServiceTime.toNanos() / (offeredLoad * REPLICAS * CONCURRENCY)));
    }
}
