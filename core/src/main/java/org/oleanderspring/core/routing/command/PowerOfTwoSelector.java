package org.oleanderspring.core.routing.command;

import java.util.Optional;
import java.util.random.RandomGenerator;
import org.oleanderspring.core.routing.CallRequest;

/**
 * Draws two available replicas at random and chooses the one whose endpoint runs fewer calls (power
 * of two choices). The cost does not grow with the number of replicas while most of them are
 * available.
 */
public final class PowerOfTwoSelector implements EndpointSelector {
    /**
     * Maximum number of draws before the fallback is used. With half of the replicas available, 1
     * call in 16 uses the fallback.
     */
    private static final int MAX_DRAWS = 4;

    private final RandomGenerator mRandom;
    private final EndpointSelector mFallback;

    /**
     * Creates a selector.
     *
     * @param random a seeded generator
     * @param fallback chooses if no draw finds an available replica
     */
    public PowerOfTwoSelector(RandomGenerator random, EndpointSelector fallback) {
        mRandom = random;
        mFallback = fallback;
    }

    @Override
    public Optional<EndpointChoice> select(CallRequest call, ReplicaCandidates candidates) {
        if (candidates.size() == 0) {
            return Optional.empty();
        }
        int best = -1;
        for (int i = 0, found = 0; i < MAX_DRAWS && found < 2; i++) {
            int drawn = mRandom.nextInt(candidates.size());
            if (!candidates.isAvailable(drawn)) {
                continue;
            }
            found++;
            if (best < 0 || candidates.load(drawn) < candidates.load(best)) {
                best = drawn;
            }
        }
        if (best < 0) {
            return mFallback.select(call, candidates);
        }
        return Optional.of(new EndpointChoice(best, "less loaded of two"));
    }
}
