package org.oleanderspring.coordination.document;

/** The outcome of a compare-and-swap that writes a document. */
public enum DocumentWriteOutcome {
    /** The document was written. */
    WRITTEN,
    /** The key had another revision than expected; nothing was written. */
    CONFLICT,
    /** The request did not reach the key-value service; nothing was written. */
    UNAVAILABLE,
    /** No reply arrived; the document may have been written. */
    UNKNOWN
}
