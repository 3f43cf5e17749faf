package org.oleanderspring.coordination.document;

/** The result of a proposed change. */
public sealed interface ChangeResult {
    /** The change was accepted and is the current version at this member. */
    record Accepted() implements ChangeResult {}

    /**
     * Another version was accepted first; nothing was written.
     *
     * @param current the current version
     */
    record Superseded(VersionedDocument current) implements ChangeResult {}

    /** The document does not exist yet, and the number of the proposed version is not 1. */
    record DocumentMissing() implements ChangeResult {}

    /**
     * This member cannot accept changes now; nothing was written.
     *
     * @param reason the cause, for log messages and the operator
     */
    record Unavailable(String reason) implements ChangeResult {}

    /**
     * The outcome is unknown: the change may or may not have been written, and the operator has to
     * read the document again.
     */
    record Uncertain() implements ChangeResult {}
}
