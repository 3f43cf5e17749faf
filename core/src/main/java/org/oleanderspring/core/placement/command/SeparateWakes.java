package org.oleanderspring.core.placement.command;

/** Requests one replica for each daemon with waiting calls. Used as a baseline in benchmarks. */
public final class SeparateWakes implements WakeReplicaPolicy {
    @Override
    public int replicasWanted(Wake wake) {
        return wake.daemons();
    }
}
