package org.oleanderspring.core.fleet;

/** The storage level from which a runner can load a checkpoint, fastest first. */
public enum CheckpointLocation {
    /** In the main memory of the VM of the runner. */
    MEMORY,
    /** On the local disk of the VM of the runner. */
    DISK,
    /** Only in the weight store. */
    REMOTE
}
