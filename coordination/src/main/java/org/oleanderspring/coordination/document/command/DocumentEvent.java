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

/** Something that the document decider has to react to. */
public sealed interface DocumentEvent {
    /**
     * A document is to be kept up to date from now on.
     *
     * @param name the document
     */
    record DocumentTracked(DocumentName name) implements DocumentEvent {}

    /**
     * The key-value service replied to a read.
     *
     * @param readId the number of the {@link DocumentDecision.ReadService}
     * @param name the document
     * @param document the content; null if the key is absent; a value that cannot be read is
     *     reported as {@link ServiceUnavailable}
     * @param revision the revision of the key
     */
    record ServiceValueRead(
            long readId, DocumentName name, @Nullable VersionedDocument document, Revision revision)
            implements DocumentEvent {}

    /**
     * A read got no reply, or a value that cannot be read.
     *
     * @param readId the number of the {@link DocumentDecision.ReadService}
     * @param name the document
     * @param reason why, for the log
     */
    record ServiceUnavailable(long readId, DocumentName name, String reason)
            implements DocumentEvent {}

    /**
     * A watch reported a value. It may have waited for delivery, so it does not show that the
     * service was reached recently.
     *
     * @param name the document
     * @param document the content; null if the key was removed
     * @param revision the revision of the key
     */
    record ServiceValueWatched(
            DocumentName name, @Nullable VersionedDocument document, Revision revision)
            implements DocumentEvent {}

    /**
     * A watch ended without being stopped.
     *
     * @param name the document
     * @param reason why, for the log
     */
    record WatchFailed(DocumentName name, String reason) implements DocumentEvent {}

    /**
     * A write-back ended.
     *
     * @param name the document
     * @param outcome how it ended
     */
    record WriteBackFinished(DocumentName name, DocumentWriteOutcome outcome)
            implements DocumentEvent {}

    /**
     * A member sent a document.
     *
     * @param peer the member's peer address
     * @param document the document
     */
    record PushReceived(Address peer, VersionedDocument document) implements DocumentEvent {}

    /**
     * A digest arrived that was not requested, so its age on arrival is unknown.
     *
     * @param peer the sender's peer address
     * @param digest what the sender has
     */
    record DigestReceived(Address peer, DocumentDigest digest) implements DocumentEvent {}

    /**
     * A member replied to a request of this member.
     *
     * @param peer the member's peer address
     * @param requestSentAt when the request was sent, on this member's clock
     * @param digest what the member has
     */
    record PeerReplied(Address peer, Instant requestSentAt, DocumentDigest digest)
            implements DocumentEvent {}

    /**
     * A member asks for a document.
     *
     * @param peer the member's peer address
     * @param requestId the member's number of the request
     * @param name the document
     */
    record FetchRequested(Address peer, long requestId, DocumentName name)
            implements DocumentEvent {}

    /**
     * A member replied to a fetch.
     *
     * @param peer the member's peer address
     * @param requestId the number of the {@link DocumentDecision.FetchDocument}
     * @param document the document; null if the member has none
     * @param digest what the member has
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
     * @param quorumAddresses the peer addresses of all members that a majority is counted of: the
     *     entry VMs of the last VM list, and the members that are not known to have left
     */
    record MembersChanged(List<Member> live, Set<Address> quorumAddresses)
            implements DocumentEvent {
        /** Copies the collections. */
        public MembersChanged {
            live = List.copyOf(live);
            quorumAddresses = Set.copyOf(quorumAddresses);
        }
    }

    /**
     * An operator wants to replace the version in force by the next one.
     *
     * @param change the identity of the change
     * @param document the new version; its number follows the one that the operator read
     */
    record ChangeProposed(ChangeId change, VersionedDocument document) implements DocumentEvent {}

    /**
     * The write of a change ended.
     *
     * @param change the identity of the change
     * @param outcome how it ended
     */
    record ChangeWriteFinished(ChangeId change, DocumentWriteOutcome outcome)
            implements DocumentEvent {}

    /** Time has passed. */
    record TimerFired() implements DocumentEvent {}
}
