package org.oleanderspring.core.placement.command;

import java.time.Duration;
import java.time.Instant;
import org.oleanderspring.core.placement.KeepAliveLimits;

/**
 * Learns the keep-alive of each model from its own gaps between uses.
 *
 * <p>A replica kept for T after its last use costs min(gap, T) of idle time, and a cold start if
 * the gap is longer than T. The policy takes the T with the least expected cost over the model's
 * own gaps; the gaps of all models together count as {@link #POOL_WEIGHT} observations, so that a
 * model without history starts from the fleet's habits. The expected cost of any later T is the
 * same function at each moment of the idle time, so waiting does not change the choice.
 *
 * <p>Loading ahead follows the same exchange rate: the cold start that is saved, times the share of
 * the observed days with a use in this quarter hour, against the idle time until the use or the end
 * of the quarter hour.
 */
public final class LearnedKeepAlivePolicy implements KeepAlivePolicy {
    /** The number of observations that the gaps of all models count for. */
    static final double POOL_WEIGHT = 2;

    /**
     * At equal weights, one second that a caller waits is worth this many seconds of idle
     * accelerator. At the two users' load times of several seconds, a cold start then weighs about
     * as much as a quarter of an hour to an hour of idle time.
     */
    static final double IDLE_SECONDS_PER_WAIT_SECOND = 300;

    /** Days with a use in the same quarter hour before a replica is loaded ahead. */
    private static final int FEWEST_DAYS = 2;

    /** Time beyond the expected load time by which a load ahead starts earlier. */
    private static final Duration AHEAD_MARGIN = Duration.ofSeconds(30);

    @Override
    public Duration keepAlive(
            ArrivalHistory history,
            ArrivalHistory pool,
            Duration coldStart,
            KeepAliveLimits limits) {
        double missCost = missCostSeconds(coldStart, limits);
        double poolScale = pool.total() == 0 ? 0 : POOL_WEIGHT / pool.total();
        double remaining = history.total() + poolScale * pool.total();
        Duration best = limits.shortest();
        double bestCost = Double.MAX_VALUE;
        double idleOfShorter = 0;
        for (int bucket = 0; bucket < ArrivalHistory.GAP_BUCKETS; bucket++) {
            Duration bound = ArrivalHistory.upperBound(bucket);
            double count = history.gapsIn(bucket) + poolScale * pool.gapsIn(bucket);
            remaining -= count;
            idleOfShorter += count * bound.toMillis() / 1000.0;
            double cost = idleOfShorter + remaining * (bound.toMillis() / 1000.0 + missCost);
            if (isAllowed(bound, limits) && cost < bestCost) {
                bestCost = cost;
                best = bound;
            }
        }
        return best;
    }

    private static boolean isAllowed(Duration bound, KeepAliveLimits limits) {
        return bound.compareTo(limits.shortest()) >= 0 && bound.compareTo(limits.longest()) <= 0;
    }

    /** Returns the idle seconds that one cold start is worth. */
    private static double missCostSeconds(Duration coldStart, KeepAliveLimits limits) {
        double idleShare = Math.max(0.01, limits.idleCostWeight() / 100.0);
        double latencyShare = 1 - limits.idleCostWeight() / 100.0;
        double waitSeconds = coldStart.toMillis() / 1000.0;
        return latencyShare / idleShare * waitSeconds * IDLE_SECONDS_PER_WAIT_SECOND;
    }

    @Override
    public boolean expectsUse(
            ArrivalHistory history, Instant now, Duration coldStart, KeepAliveLimits limits) {
        Instant at = now.plus(coldStart).plus(AHEAD_MARGIN);
        int hits = history.daysWithUse(at);
        if (hits < FEWEST_DAYS) {
            return false;
        }
        double likelihood = hits / (double) (history.daysObserved(at) + 1);
        double idleSeconds = Duration.between(now, ArrivalHistory.endOfQuarter(at)).toSeconds();
        double expectedIdle = idleSeconds * (1 - likelihood / 2);
        return likelihood * missCostSeconds(coldStart, limits) > expectedIdle;
    }
}
