package org.oleanderspring.coordination.document;

/** How a compare-and-swap of a document ended. */
public enum DocumentWriteOutcome {
    /** The document was written. */
    WRITTEN,
    /** The key had another revision; nothing was written. */
    CONFLICT,
    /** The request did not reach the key-value service; nothing was written. */
    UNAVAILABLE,
    /** No reply arrived; the document may have been written. */
    UNKNOWN
}
