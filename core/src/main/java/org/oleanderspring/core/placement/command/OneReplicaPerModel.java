package org.oleanderspring.core.placement.command;

/**
 * Requests one replica for the waiting calls of all daemons. Further replicas are added by scaling
 * out.
 */
public final class OneReplicaPerModel implements ActivationReplicaPolicy {
    @Override
    public int replicasWanted(ModelActivation activation) {
        return 1;
    }
}
