package org.oleanderspring.core.placement.command;

import java.time.Duration;
import java.time.Instant;
import org.oleanderspring.core.placement.KeepAliveLimits;

/**
 * Derives the keep-alive time of each model from the idle gaps between its uses.
 *
 * <p>A replica that is kept for a time T after its last use costs min(gap, T) of idle time, plus a
 * cold start if the gap is longer than T. The policy chooses the T with the minimum expected cost
 * over the model's own gaps. The gaps of all models together count as {@link #POOL_WEIGHT}
 * observations, so that a model without history starts with the average behavior of the fleet. The
 * expected cost as a function of T does not depend on how much of the idle time has already passed,
 * so the choice stays the same while a replica is idle.
 *
 * <p>Loading ahead uses the same cost ratio: the saved cold start, times the share of the observed
 * days with a use in this quarter hour, is compared with the idle time until the use or the end of
 * the quarter hour.
 */
public final class LearnedKeepAlivePolicy implements KeepAlivePolicy {
    /** The number of observations for which the gaps of all models together count. */
    static final double POOL_WEIGHT = 2;

    /**
     * The idle accelerator time, in seconds, that costs as much as one second of a caller's waiting
     * time if both have equal weights. With load times of several seconds, as in the two known
     * deployments, a cold start costs about as much as 15 to 60 minutes of idle time.
     */
    static final double IDLE_SECONDS_PER_WAIT_SECOND = 300;

    /**
     * The minimum number of days with a use in the same quarter hour for loading a replica ahead.
     */
    private static final int MIN_DAYS_WITH_USE = 2;

    /**
     * Added to the expected load time, so that a load ahead of use finishes before the predicted
     * use.
     */
    private static final Duration PREWARM_MARGIN = Duration.ofSeconds(30);

    @Override
    public Duration keepAlive(
            UsageHistory history, UsageHistory pool, Duration coldStart, KeepAliveLimits limits) {
        double missCost = missCostSeconds(coldStart, limits);
        double poolScale = pool.total() == 0 ? 0 : POOL_WEIGHT / pool.total();
        double longerGaps = history.total() + poolScale * pool.total();
        Duration best = limits.shortest();
        double bestCost = Double.MAX_VALUE;
        double idleSecondsOfShorterGaps = 0;
        for (int bucket = 0; bucket < UsageHistory.GAP_BUCKETS; bucket++) {
            Duration bound = UsageHistory.upperBound(bucket);
            double count = history.gapsIn(bucket) + poolScale * pool.gapsIn(bucket);
            longerGaps -= count;
            idleSecondsOfShorterGaps += count * bound.toMillis() / 1000.0;
            double cost =
                    idleSecondsOfShorterGaps + longerGaps * (bound.toMillis() / 1000.0 + missCost);
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

    /** Returns the idle time that costs as much as one cold start, in seconds. */
    private static double missCostSeconds(Duration coldStart, KeepAliveLimits limits) {
        double idleShare = Math.max(0.01, limits.idleCostWeight() / 100.0);
        double latencyShare = 1 - limits.idleCostWeight() / 100.0;
        double waitSeconds = coldStart.toMillis() / 1000.0;
        return latencyShare / idleShare * waitSeconds * IDLE_SECONDS_PER_WAIT_SECOND;
    }

    @Override
    public boolean expectsUse(
            UsageHistory history, Instant now, Duration coldStart, KeepAliveLimits limits) {
        Instant at = now.plus(coldStart).plus(PREWARM_MARGIN);
        int daysWithUse = history.daysWithUse(at);
        if (daysWithUse < MIN_DAYS_WITH_USE) {
            return false;
        }
        double likelihood = daysWithUse / (double) (history.daysObserved(at) + 1);
        double idleSeconds = Duration.between(now, UsageHistory.endOfQuarter(at)).toSeconds();
        // If the use comes, it comes on average after half of the time.
        double expectedIdleSeconds = idleSeconds * (1 - likelihood / 2);
        return likelihood * missCostSeconds(coldStart, limits) > expectedIdleSeconds;
    }
}
