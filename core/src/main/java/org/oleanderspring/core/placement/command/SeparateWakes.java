package org.oleanderspring.core.placement.command;

/** Each daemon with waiting calls gets a replica of its own; the baseline without merging. */
public final class SeparateWakes implements WakeReplicaPolicy {
    @Override
    public int replicasWanted(Wake wake) {
        return wake.daemons();
    }
}
