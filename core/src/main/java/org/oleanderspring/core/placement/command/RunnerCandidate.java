package org.oleanderspring.core.placement.command;

import java.util.Objects;
import org.oleanderspring.core.fleet.CheckpointLocation;
import org.oleanderspring.core.fleet.Endpoint;

/**
 * A runner on which a load would fit.
 *
 * @param runner the runner
 * @param location from where it would load
 * @param freeMegabytes the memory of its VM that nothing is charged to
 * @param replicasInDomain the replicas of the same name in its failure domain
 */
public record RunnerCandidate(
        Endpoint runner, CheckpointLocation location, long freeMegabytes, int replicasInDomain) {
    /** Checks for missing parts. */
    public RunnerCandidate {
        Objects.requireNonNull(runner, "runner");
        Objects.requireNonNull(location, "location");
    }
}
