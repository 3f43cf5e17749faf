package org.oleanderspring.core.routing;

/** Whether a replica accepts calls. */
public enum ReplicaState {
    /** The replica is loaded and accepts calls. */
    READY,
    /**
     * The replica is about to be unloaded. It finishes its running calls and accepts no new ones.
     */
    DRAINING
}
