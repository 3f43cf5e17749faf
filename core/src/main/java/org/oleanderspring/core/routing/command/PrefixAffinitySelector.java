package org.oleanderspring.core.routing.command;

import java.util.Optional;
import org.oleanderspring.core.routing.CallRequest;

/**
 * Sends calls with the same prompt prefix to the same replica, whose engine has the prefix in its
 * cache. The replica is the one with the highest rendezvous weight for the prefix among the
 * replicas within the load bound. A popular prefix therefore spreads to a second replica before it
 * overloads the first, and adding or removing a replica moves only the prefixes of that replica.
 *
 * <p>The work at an endpoint is weighed by its pace, so the bound is the expected time that a kept
 * prefix may cost. At least one available replica is within the bound, because it is never below
 * the least work plus one call.
 */
public final class PrefixAffinitySelector implements EndpointSelector {
    /**
     * Maximum load of a replica relative to the average; above it, its prefixes go to other
     * replicas.
     */
    private static final double LOAD_BOUND = 1.25;

    /**
     * The share of an endpoint's concurrency up to which it is chosen for a prefix. Above it, a
     * call would soon wait there, which costs more than reading the prefix again elsewhere.
     */
    private static final double HEADROOM = 0.75;

    private final EndpointSelector mFallback;

    /**
     * Creates a selector.
     *
     * @param fallback chooses for calls without a prefix hash, and if the replica for the prefix is
     *     nearly full
     */
    public PrefixAffinitySelector(EndpointSelector fallback) {
        mFallback = fallback;
    }

    @Override
    public Optional<EndpointChoice> select(CallRequest call, ReplicaCandidates candidates) {
        if (call.prefixHash() == 0) {
            return mFallback.select(call, candidates);
        }
        double bound = loadBound(candidates);
        int best = -1;
        long bestWeight = 0;
        for (int i = 0; i < candidates.size(); i++) {
            if (!candidates.isAvailable(i) || candidates.load(i) + 1 > bound) {
                continue;
            }
            long weight = RendezvousHash.weight(call.prefixHash(), candidates.endpoint(i));
            if (best < 0 || weight > bestWeight) {
                best = i;
                bestWeight = weight;
            }
        }
        if (best < 0) {
            return Optional.empty();
        }
        return candidates.load(best) + 1 > HEADROOM * candidates.concurrency(best)
                ? mFallback.select(call, candidates)
                : Optional.of(new EndpointChoice(best, "prefix affinity"));
    }

    private static double loadBound(ReplicaCandidates candidates) {
        double load = 0;
        double least = Double.POSITIVE_INFINITY;
        int available = 0;
        for (int i = 0; i < candidates.size(); i++) {
            if (candidates.isAvailable(i)) {
                load += candidates.load(i);
                least = Math.min(least, candidates.load(i));
                available++;
            }
        }
        if (available == 0) {
            return 0;
        }
        return Math.max(Math.ceil(LOAD_BOUND * (load + 1) / available), least + 1);
    }
}
