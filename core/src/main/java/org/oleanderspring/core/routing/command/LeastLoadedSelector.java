package org.oleanderspring.core.routing.command;

import java.util.Optional;
import org.oleanderspring.core.routing.CallRequest;

/**
 * Chooses the available replica whose endpoint has the least work. Ties are broken by a hash of the
 * call and the endpoint, so that idle replicas share the calls evenly.
 */
public final class LeastLoadedSelector implements EndpointSelector {
    private final long mSalt;

    /**
     * Creates a selector.
     *
     * @param salt a value that differs between daemons, so that they do not all prefer the same
     *     endpoint
     */
    public LeastLoadedSelector(long salt) {
        mSalt = salt;
    }

    @Override
    public Optional<EndpointChoice> select(CallRequest call, ReplicaCandidates candidates) {
        long seed = mSalt ^ call.id().value();
        int best = -1;
        double bestLoad = Double.POSITIVE_INFINITY;
        long bestHash = 0;
        for (int i = 0; i < candidates.size(); i++) {
            if (!candidates.isAvailable(i) || candidates.load(i) > bestLoad) {
                continue;
            }
            long hash = RendezvousHash.weight(seed, candidates.endpoint(i));
            if (best < 0 || candidates.load(i) < bestLoad || hash > bestHash) {
                best = i;
                bestLoad = candidates.load(i);
                bestHash = hash;
            }
        }
        return best < 0 ? Optional.empty() : Optional.of(new EndpointChoice(best, "least loaded"));
    }
}
