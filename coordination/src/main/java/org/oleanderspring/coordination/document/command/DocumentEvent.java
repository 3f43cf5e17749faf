package org.oleanderspring.coordination.document.command;

import java.time.Instant;
import java.util.List;
import java.util.Set;
import org.jspecify.annotations.Nullable;
import org.oleanderspring.coordination.document.ChangeId;
import org.oleanderspring.coordination.document.DocumentDigest;
import org.oleanderspring.coordination.document.DocumentName;
import org.oleanderspring.coordination.document.DocumentWriteOutcome;
import org.oleanderspring.coordination.document.VersionedDocument;
import org.oleanderspring.coordination.membership.Address;
import org.oleanderspring.coordination.membership.Member;
import org.oleanderspring.coordination.store.Revision;

/** An input of {@link DocumentDecider}. */
public sealed interface DocumentEvent {
    /**
     * This member starts to keep a document up to date.
     *
     * @param name the document
     */
    record DocumentTracked(DocumentName name) implements DocumentEvent {}

    /**
     * The key-value service replied to a read.
     *
     * @param readId the identifier from {@link DocumentDecision.ReadService}
     * @param name the document
     * @param document the version read; null if the key does not exist; a value that cannot be
     *     decoded is reported as {@link ServiceUnavailable}
     * @param revision the revision of the key
     */
    record ServiceValueRead(
            long readId, DocumentName name, @Nullable VersionedDocument document, Revision revision)
            implements DocumentEvent {}

    /**
     * A read got no reply, or a value that cannot be decoded.
     *
     * @param readId the identifier from {@link DocumentDecision.ReadService}
     * @param name the document
     * @param reason the cause, for log messages
     */
    record ServiceUnavailable(long readId, DocumentName name, String reason)
            implements DocumentEvent {}

    /**
     * A watch reported a value. The report may have been delayed, so it is no evidence that the
     * key-value service was reached recently.
     *
     * @param name the document
     * @param document the version written; null if the key was removed
     * @param revision the revision of the key
     */
    record ServiceValueWatched(
            DocumentName name, @Nullable VersionedDocument document, Revision revision)
            implements DocumentEvent {}

    /**
     * A watch ended without being stopped.
     *
     * @param name the document
     * @param reason the cause, for log messages
     */
    record WatchFailed(DocumentName name, String reason) implements DocumentEvent {}

    /**
     * A write-back ended.
     *
     * @param name the document
     * @param outcome the outcome of the write
     */
    record WriteBackFinished(DocumentName name, DocumentWriteOutcome outcome)
            implements DocumentEvent {}

    /**
     * A member pushed a document.
     *
     * @param peer the member's peer address
     * @param document the document
     */
    record PushReceived(Address peer, VersionedDocument document) implements DocumentEvent {}

    /**
     * A digest arrived that was not requested, so it is unknown how old it was on arrival.
     *
     * @param peer the sender's peer address
     * @param digest the digest of the sender's documents
     */
    record DigestReceived(Address peer, DocumentDigest digest) implements DocumentEvent {}

    /**
     * A member replied to a request of this member.
     *
     * @param peer the member's peer address
     * @param requestSentAt when the request was sent, on this member's clock
     * @param digest the digest of the member's documents
     */
    record PeerReplied(Address peer, Instant requestSentAt, DocumentDigest digest)
            implements DocumentEvent {}

    /**
     * A member requested a document.
     *
     * @param peer the member's peer address
     * @param requestId the request identifier given by that member
     * @param name the document
     */
    record FetchRequested(Address peer, long requestId, DocumentName name)
            implements DocumentEvent {}

    /**
     * A member replied to a fetch.
     *
     * @param peer the member's peer address
     * @param requestId the identifier from {@link DocumentDecision.FetchDocument}
     * @param document the member's current version; null if it has none
     * @param digest the digest of the member's documents
     */
    record FetchReplied(
            Address peer,
            long requestId,
            @Nullable VersionedDocument document,
            DocumentDigest digest)
            implements DocumentEvent {}

    /**
     * The member list or the VM list changed.
     *
     * @param live the members that are expected to reply; may contain this member
     * @param quorumAddresses the peer addresses over which a majority is computed: the entry VMs of
     *     the last VM list and the members that are not known to have left
     */
    record MembersChanged(List<Member> live, Set<Address> quorumAddresses)
            implements DocumentEvent {
        /** Copies the collections; null elements are rejected. */
        public MembersChanged {
            live = List.copyOf(live);
            quorumAddresses = Set.copyOf(quorumAddresses);
        }
    }

    /**
     * An operator proposes a new version of a document.
     *
     * @param change the identifier of the change
     * @param document the new version; its number is one higher than that of the version that the
     *     operator read
     */
    record ChangeProposed(ChangeId change, VersionedDocument document) implements DocumentEvent {}

    /**
     * The write of a change ended, successfully or not.
     *
     * @param change the identifier of the change
     * @param outcome the outcome of the write
     */
    record ChangeWriteFinished(ChangeId change, DocumentWriteOutcome outcome)
            implements DocumentEvent {}

    /** Periodic timer tick; time-outs and delayed operations are checked on every tick. */
    record TimerFired() implements DocumentEvent {}
}
