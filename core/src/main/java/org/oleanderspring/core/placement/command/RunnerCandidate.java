package org.oleanderspring.core.placement.command;

import java.util.Objects;
import org.oleanderspring.core.fleet.CheckpointLocation;
import org.oleanderspring.core.fleet.Endpoint;

/**
 * A runner that is considered for a load.
 *
 * @param runner the runner
 * @param location the location from which it would load the checkpoint
 * @param freeMegabytes the memory of its VM that is neither reserved nor claimed
 * @param replicasInDomain the number of replicas of the same model in its failure domain
 */
public record RunnerCandidate(
        Endpoint runner, CheckpointLocation location, long freeMegabytes, int replicasInDomain) {
    /** Rejects null components. */
    public RunnerCandidate {
        Objects.requireNonNull(runner, "runner");
        Objects.requireNonNull(location, "location");
    }
}
