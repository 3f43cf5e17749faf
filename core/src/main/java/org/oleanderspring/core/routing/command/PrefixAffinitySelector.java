package org.oleanderspring.core.routing.command;

import java.util.Optional;
import org.oleanderspring.core.routing.CallRequest;

/**
 * Sends calls with the same prompt prefix to the same replica, whose engine has the prefix cached.
 * The replica is the one with the highest rendezvous weight for the prefix among those whose load
 * is within a bound over the average, so a popular prefix spreads to a second replica before it
 * overloads the first, and a change of one replica moves only the prefixes of that replica.
 *
 * <p>Some available replica is always within the bound: the load with the new call, divided by the
 * number of available replicas, is more than the smallest load, so its multiple rounded up is at
 * least the smallest load plus one.
 */
public final class PrefixAffinitySelector implements EndpointSelector {
    /** Load over the average that a replica may have before its prefixes go elsewhere. */
    private static final double LOAD_BOUND = 1.25;

    private final EndpointSelector mFallback;

    /**
     * Creates a selector.
     *
     * @param fallback chooses for calls without a known prefix
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
        return best < 0
                ? Optional.empty()
                : Optional.of(new EndpointChoice(best, "prefix affinity"));
    }

    private static double loadBound(ReplicaCandidates candidates) {
        long load = 0;
        int available = 0;
        for (int i = 0; i < candidates.size(); i++) {
            if (candidates.isAvailable(i)) {
                load += candidates.load(i);
                available++;
            }
        }
        return available == 0 ? 0 : Math.ceil(LOAD_BOUND * (load + 1) / available);
    }
}
