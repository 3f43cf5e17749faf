package org.oleanderspring.core.placement.command;

/** One replica serves the waiting calls of all daemons; more come by scaling out. */
public final class OneReplicaPerModel implements ActivationReplicaPolicy {
    @Override
    public int replicasWanted(ModelActivation wake) {
        return 1;
    }
}
