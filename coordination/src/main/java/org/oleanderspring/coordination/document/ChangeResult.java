package org.oleanderspring.coordination.document;

/** What became of a proposed change. */
public sealed interface ChangeResult {
    /** The change is accepted and in force here. */
    record Accepted() implements ChangeResult {}

    /**
     * Another version was accepted first; nothing was written.
     *
     * @param current the version in force
     */
    record Superseded(VersionedDocument current) implements ChangeResult {}

    /** The content does not carry the first number of a document that does not exist yet. */
    record NotFirstVersion() implements ChangeResult {}

    /**
     * This member may not accept changes now; nothing was written.
     *
     * @param reason why, for the log and the operator
     */
    record Unavailable(String reason) implements ChangeResult {}

    /** The change may or may not have been written; the operator has to read the document again. */
    record Uncertain() implements ChangeResult {}
}
