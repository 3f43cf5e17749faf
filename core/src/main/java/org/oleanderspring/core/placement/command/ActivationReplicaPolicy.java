package org.oleanderspring.core.placement.command;

/** Decides how many replicas are loaded for the waiting calls of a wake. */
public interface ActivationReplicaPolicy {
    /**
     * Returns the number of replicas.
     *
     * @param wake the pending wake, merged from the requests of all daemons
     */
    int replicasWanted(ModelActivation wake);
}
