package org.oleanderspring.core.placement.command;

/** Requests one replica for each daemon with waiting calls. Used as a baseline in benchmarks. */
public final class OneReplicaPerDaemon implements ActivationReplicaPolicy {
    @Override
    public int replicasWanted(ModelActivation activation) {
        return activation.daemons();
    }
}
