package org.oleanderspring.coordination.document.command;

import java.time.Instant;
import java.util.List;
import org.jspecify.annotations.Nullable;
import org.oleanderspring.coordination.document.ChangeId;
import org.oleanderspring.coordination.document.ChangeResult;
import org.oleanderspring.coordination.document.DocumentDigest;
import org.oleanderspring.coordination.document.DocumentName;
import org.oleanderspring.coordination.document.VersionedDocument;
import org.oleanderspring.coordination.document.query.DigestSnapshot;
import org.oleanderspring.coordination.membership.Address;
import org.oleanderspring.coordination.store.Revision;

/** Something that the document decider wants done. */
public sealed interface DocumentDecision {
    /**
     * Watch a document at the key-value service.
     *
     * @param name the document
     */
    record StartWatch(DocumentName name) implements DocumentDecision {}

    /**
     * End the watch of a document.
     *
     * @param name the document
     */
    record StopWatch(DocumentName name) implements DocumentDecision {}

    /**
     * Read a document from the key-value service.
     *
     * @param readId to be returned with the result
     * @param name the document
     */
    record ReadService(long readId, DocumentName name) implements DocumentDecision {}

    /**
     * Write the version in force over older content of the key-value service.
     *
     * @param document the version in force
     * @param expected the revision that the older content has
     */
    record WriteBack(VersionedDocument document, Revision expected) implements DocumentDecision {}

    /**
     * Send a document to members.
     *
     * @param peers the members' peer addresses
     * @param document the document
     */
    record PushDocument(List<Address> peers, VersionedDocument document)
            implements DocumentDecision {
        /** Copies the list. */
        public PushDocument {
            peers = List.copyOf(peers);
        }
    }

    /**
     * Ask a member for a document and its digest.
     *
     * @param peer the member's peer address
     * @param requestId to be returned with the reply
     * @param name the document
     */
    record FetchDocument(Address peer, long requestId, DocumentName name)
            implements DocumentDecision {}

    /**
     * Reply to a member's fetch.
     *
     * @param peer the member's peer address
     * @param requestId the member's number of the request
     * @param document the document; null if none is in force here
     * @param digest what this member has
     */
    record ReplyToFetch(
            Address peer,
            long requestId,
            @Nullable VersionedDocument document,
            DocumentDigest digest)
            implements DocumentDecision {}

    /**
     * Apply a document; it is in force from now on.
     *
     * @param document the document
     */
    record ApplyDocument(VersionedDocument document) implements DocumentDecision {}

    /**
     * The member may decide by its documents until the given time; repeated as that time moves.
     * Whoever decides compares the time with its own clock, so that a paused document thread cannot
     * extend it.
     *
     * @param until the end, on this member's clock
     */
    record GrantAuthority(Instant until) implements DocumentDecision {}

    /** The member may not decide any more. */
    record WithdrawAuthority() implements DocumentDecision {}

    /**
     * Use this snapshot for the digests in membership messages from now on.
     *
     * @param snapshot the snapshot
     */
    record PublishDigest(DigestSnapshot snapshot) implements DocumentDecision {}

    /**
     * Write a change to the key-value service.
     *
     * @param change to be returned with the outcome
     * @param document the new version
     * @param expected the revision that the version in force has
     */
    record WriteChange(ChangeId change, VersionedDocument document, Revision expected)
            implements DocumentDecision {}

    /**
     * Tell the operator what became of a change.
     *
     * @param change the identity of the change
     * @param result the outcome
     */
    record SettleChange(ChangeId change, ChangeResult result) implements DocumentDecision {}
}
