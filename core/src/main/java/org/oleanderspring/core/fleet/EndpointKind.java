package org.oleanderspring.core.fleet;

/** What an endpoint serves. */
public enum EndpointKind {
    /** A model engine. */
    RUNNER,
    /** A plain service without a model engine. */
    SERVICE
}
