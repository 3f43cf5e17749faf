package org.oleanderspring.core.placement;

/**
 * How many replicas a model or adapter may and must have in a cell.
 *
 * @param replicaLimit the most replicas, counting those whose unload was not seen yet
 * @param minimumReplicas the replicas that stay loaded even when idle
 */
public record ModelLimits(int replicaLimit, int minimumReplicas) {
    /** Checks the ranges. */
    public ModelLimits {
        if (replicaLimit < 0 || minimumReplicas < 0 || minimumReplicas > replicaLimit) {
            throw new IllegalArgumentException(
                    "replica limits are out of range: " + minimumReplicas + " to " + replicaLimit);
        }
    }
}
