package org.oleanderspring.core.placement;

/** The operation that an order asks a runner to perform. */
public enum OrderKind {
    /** Load the weights of a model. */
    LOAD_MODEL,
    /** Unload a model and its adapters. */
    UNLOAD_MODEL,
    /** Load an adapter of a loaded model. */
    LOAD_ADAPTER,
    /** Unload an adapter. */
    UNLOAD_ADAPTER,
    /** Change the runner's role. */
    CHANGE_ROLE
}
