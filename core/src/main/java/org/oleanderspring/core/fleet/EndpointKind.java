package org.oleanderspring.core.fleet;

/** The kind of an endpoint. */
public enum EndpointKind {
    /** A model engine. */
    RUNNER,
    /** A plain service without a model engine. */
    SERVICE
}
