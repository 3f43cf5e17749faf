package org.oleanderspring.core.fleet;

/** How far a checkpoint is loaded on a runner. */
public enum LoadState {
    /** The weights are being loaded. */
    LOADING,
    /** The runner serves calls for it. */
    READY,
    /** The weights are being removed. */
    UNLOADING
}
