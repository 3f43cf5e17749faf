package org.oleanderspring.core.placement;

/**
 * The minimum and maximum number of replicas of a model or adapter in a cell.
 *
 * @param replicaLimit the maximum number of replicas, including those whose unload has not been
 *     confirmed by a runner's report
 * @param minimumReplicas the number of replicas that stay loaded even when idle
 */
public record ModelLimits(int replicaLimit, int minimumReplicas) {
    /** Rejects negative numbers and a minimum above the limit. */
    public ModelLimits {
        if (replicaLimit < 0 || minimumReplicas < 0 || minimumReplicas > replicaLimit) {
            throw new IllegalArgumentException(
                    "replica counts must be at least 0 and the minimum at most the limit: minimum "
                            + minimumReplicas
                            + ", limit "
                            + replicaLimit);
        }
    }
}
