package org.oleanderspring.core.placement.command;

/**
 * Requests one replica for the waiting calls of all daemons. Further replicas are added by scaling
 * out.
 */
public final class MergedWakes implements WakeReplicaPolicy {
    @Override
    public int replicasWanted(Wake wake) {
        return 1;
    }
}
