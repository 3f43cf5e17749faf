package org.oleanderspring.core.residency;

/** What an order asks a runner to do. */
public enum ResidencyOrderKind {
    /** Load a model or adapter. */
    LOAD,
    /** Unload a model or adapter. */
    UNLOAD
}
