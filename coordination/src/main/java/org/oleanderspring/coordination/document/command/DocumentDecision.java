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

/** An action or notification of {@link DocumentDecider}. */
public sealed interface DocumentDecision {
    /**
     * Start to watch a document at the key-value service.
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
     * @param readId identifies the read in its result
     * @param name the document
     */
    record ReadService(long readId, DocumentName name) implements DocumentDecision {}

    /**
     * Replace an older version at the key-value service by the current version.
     *
     * @param document the current version
     * @param expected the revision of the older version
     */
    record WriteBack(VersionedDocument document, Revision expected) implements DocumentDecision {}

    /**
     * Send a document to other members.
     *
     * @param peers the members' peer addresses
     * @param document the document
     */
    record PushDocument(List<Address> peers, VersionedDocument document)
            implements DocumentDecision {
        /** Copies the list; null elements are rejected. */
        public PushDocument {
            peers = List.copyOf(peers);
        }
    }

    /**
     * Request a document and a digest from a member.
     *
     * @param peer the member's peer address
     * @param requestId identifies the request in its reply
     * @param name the document
     */
    record FetchDocument(Address peer, long requestId, DocumentName name)
            implements DocumentDecision {}

    /**
     * Reply to another member's fetch.
     *
     * @param peer the member's peer address
     * @param requestId the request identifier given by that member
     * @param document the current version; null if this member has none
     * @param digest the digest of this member's documents
     */
    record ReplyToFetch(
            Address peer,
            long requestId,
            @Nullable VersionedDocument document,
            DocumentDigest digest)
            implements DocumentDecision {}

    /**
     * Apply a document, which is the current version from now on.
     *
     * @param document the document
     */
    record ApplyDocument(VersionedDocument document) implements DocumentDecision {}

    /**
     * The member may make decisions based on its documents until the given time; issued again
     * whenever that time is extended. The threads that make decisions compare the time with the
     * clock themselves, so a pause of the thread that owns the documents cannot extend it.
     *
     * @param until the end of the authority, on this member's clock
     */
    record GrantAuthority(Instant until) implements DocumentDecision {}

    /** The member may no longer make decisions. */
    record WithdrawAuthority() implements DocumentDecision {}

    /**
     * Replace the snapshot from which the digests in membership messages are created.
     *
     * @param snapshot the snapshot
     */
    record PublishDigest(DigestSnapshot snapshot) implements DocumentDecision {}

    /**
     * Write a change to the key-value service.
     *
     * @param change identifies the change in the outcome
     * @param document the new version
     * @param expected the revision of the current version at the key-value service
     */
    record WriteChange(ChangeId change, VersionedDocument document, Revision expected)
            implements DocumentDecision {}

    /**
     * Report the result of a change to the operator.
     *
     * @param change the identifier of the change
     * @param result the result
     */
    record ReportChangeResult(ChangeId change, ChangeResult result) implements DocumentDecision {}
}
