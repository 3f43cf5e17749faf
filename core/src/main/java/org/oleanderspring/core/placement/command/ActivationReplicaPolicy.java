package org.oleanderspring.core.placement.command;

/** Decides how many replicas a wake asks for. */
public interface ActivationReplicaPolicy {
    /**
     * Returns the number of replicas.
     *
     * @param wake the merged requests of all daemons
     */
    int replicasWanted(ModelActivation wake);
}
