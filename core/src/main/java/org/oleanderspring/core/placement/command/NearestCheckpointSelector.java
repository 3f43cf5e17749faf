package org.oleanderspring.core.placement.command;

import java.util.Comparator;

/**
 * Prefers, in this order, the failure domain with the fewest replicas of the model, the runner with
 * the checkpoint in the fastest location, and the runner with the most free memory. For the first
 * replica all failure domains are equal, so the location alone determines the cold-start time.
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
