package org.oleanderspring.core.placement.command;

/** One replica serves the waiting calls of all daemons; more come by scaling out. */
public final class MergedWakes implements WakeReplicaPolicy {
    @Override
    public int replicasWanted(Wake wake) {
        return 1;
    }
}
