package org.oleanderspring.core.fleet;

/** The nearest place from which a runner can load a checkpoint, nearest first. */
public enum CheckpointLocation {
    /** In the memory of the runner's VM. */
    MEMORY,
    /** On the local disk of the runner's VM. */
    DISK,
    /** Only in the weight store. */
    REMOTE
}
