package org.oleanderspring.core.share;

/** The part that a daemon has in the division of a shared rate, by its view of the members. */
public enum IssuerRole {
    /** It is the only daemon. */
    ONLY,
    /** It issues the rate, and the second one has to confirm that. */
    FIRST,
    /** It issues a part of the rate while it hears nothing from the first one. */
    SECOND
}
