package org.oleanderspring.core.routing;

/** Whether a replica may receive calls. */
public enum ReplicaState {
    /** It is loaded and takes calls. */
    READY,
    /** It is to be unloaded; it finishes its calls and takes no new one. */
    DRAINING
}
