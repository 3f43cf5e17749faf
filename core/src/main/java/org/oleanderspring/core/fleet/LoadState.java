package org.oleanderspring.core.fleet;

/** The load state of a checkpoint on a runner. */
public enum LoadState {
    /** The weights are being loaded. */
    LOADING,
    /** The weights are loaded, and the runner serves calls for them. */
    READY,
    /** The weights are being removed. */
    UNLOADING
}
