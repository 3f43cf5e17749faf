package org.oleanderspring.core.residency;

/** Why no runner holds a model or adapter that calls ask for. */
public enum UnservedCause {
    /** A load is planned or in progress. */
    LOADING,
    /** No runner has a copy of the weights, and no load from the weight store is planned. */
    NO_COPY,
    /** The runners that could load it are executing other orders or have not replied. */
    RUNNERS_BUSY,
    /** Runners could load it, but hold nothing that may be unloaded for it. */
    NO_ROOM,
    /** It is an adapter, and no runner holds its base model. */
    BASE_NOT_HELD
}
