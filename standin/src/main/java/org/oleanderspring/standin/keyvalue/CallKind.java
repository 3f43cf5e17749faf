package org.oleanderspring.standin.keyvalue;

/** How a call is counted. */
public enum CallKind {
    /** Counted against the budget of reads. */
    READ,
    /** Counted against the budget of writes. */
    WRITE
}
