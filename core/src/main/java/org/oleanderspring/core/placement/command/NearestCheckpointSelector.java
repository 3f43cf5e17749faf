package org.oleanderspring.core.placement.command;

import java.util.Comparator;

/**
 * Spreads the replicas of a model over failure domains first, then takes the runner that has the
 * checkpoint nearest, then the one with most free memory. A first replica has no others to be
 * spread from, so only the location decides about the length of a cold start.
 */
public final class NearestCheckpointSelector implements RunnerSelector {
    private static final Comparator<RunnerCandidate> PREFERENCE =
            Comparator.comparing(RunnerCandidate::replicasInDomain)
                    .thenComparing(RunnerCandidate::location)
                    .thenComparing(RunnerCandidate::freeMegabytes, Comparator.reverseOrder())
                    .thenComparing(candidate -> candidate.runner().id());

    @Override
    public Comparator<RunnerCandidate> preference() {
        return PREFERENCE;
    }
}
