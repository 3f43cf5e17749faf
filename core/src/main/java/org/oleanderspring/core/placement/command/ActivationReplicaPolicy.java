package org.oleanderspring.core.placement.command;

/** Decides how many replicas are loaded for the waiting calls of an activation. */
public interface ActivationReplicaPolicy {
    /**
     * Returns the number of replicas.
     *
     * @param activation the pending activation, merged from the requests of all daemons
     */
    int replicasWanted(ModelActivation activation);
}
