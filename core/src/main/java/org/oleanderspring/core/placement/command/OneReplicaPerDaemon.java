package org.oleanderspring.core.placement.command;

/** Each daemon with waiting calls gets a replica of its own; the baseline without merging. */
public final class OneReplicaPerDaemon implements ActivationReplicaPolicy {
    @Override
    public int replicasWanted(ModelActivation wake) {
        return wake.daemons();
    }
}
