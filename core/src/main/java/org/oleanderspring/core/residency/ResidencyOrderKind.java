package org.oleanderspring.core.residency;

/** The operation that an order asks a runner to perform. */
public enum ResidencyOrderKind {
    /** Load a model or adapter. */
    LOAD,
    /** Unload a model or adapter. */
    UNLOAD
}
