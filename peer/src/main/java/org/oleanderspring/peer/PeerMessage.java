package org.oleanderspring.peer;

import java.time.Duration;
import java.util.List;
import org.jspecify.annotations.Nullable;
import org.oleanderspring.coordination.dispatch.ClaimId;
import org.oleanderspring.coordination.dispatch.IdempotencyKey;
import org.oleanderspring.coordination.dispatch.RecordState;
import org.oleanderspring.coordination.dispatch.command.ClaimResult;
import org.oleanderspring.coordination.document.DocumentDigest;
import org.oleanderspring.coordination.document.DocumentName;
import org.oleanderspring.coordination.document.VersionedDocument;
import org.oleanderspring.coordination.lease.FencingToken;
import org.oleanderspring.coordination.membership.MemberId;
import org.oleanderspring.coordination.membership.MembershipMessage;
import org.oleanderspring.core.fleet.CellName;
import org.oleanderspring.core.fleet.EndpointId;
import org.oleanderspring.core.fleet.ModelName;
import org.oleanderspring.core.placement.ModelUse;
import org.oleanderspring.core.placement.UnreadyReason;
import org.oleanderspring.core.residency.Residency;

/**
 * A message between daemons.
 *
 * <p>Times are durations from when the message is made, because the daemons' clocks differ.
 */
public sealed interface PeerMessage {
    /**
     * A membership message; the only kind that travels by UDP.
     *
     * @param message the message
     */
    record Membership(MembershipMessage message) implements PeerMessage {}

    /**
     * A document that the receiver may not have yet.
     *
     * @param document the document
     */
    record DocumentPush(VersionedDocument document) implements PeerMessage {}

    /**
     * Asks for a document.
     *
     * @param requestId the sender's number of the request
     * @param name the document
     */
    record DocumentFetch(long requestId, DocumentName name) implements PeerMessage {}

    /**
     * Replies to a {@link DocumentFetch}.
     *
     * @param requestId the number of the request
     * @param document the document; null if the sender has none
     * @param digest what the sender has
     */
    record DocumentReply(
            long requestId, @Nullable VersionedDocument document, DocumentDigest digest)
            implements PeerMessage {}

    /**
     * Asks the holder of a cell to load a model.
     *
     * @param daemon the daemon at which calls wait
     * @param cell the cell
     * @param model the model or adapter
     * @param untilDeadline how long until the earliest deadline of the waiting calls
     * @param waiting how many calls wait
     */
    record ActivationRequest(
            MemberId daemon, CellName cell, ModelName model, Duration untilDeadline, int waiting)
            implements PeerMessage {}

    /**
     * Says in what time a woken model becomes ready.
     *
     * @param cell the cell
     * @param model the model or adapter
     * @param readyAfter the estimated time
     */
    record ReadyNotice(CellName cell, ModelName model, Duration readyAfter)
            implements PeerMessage {}

    /**
     * Says that a woken model does not become ready as things stand.
     *
     * @param cell the cell
     * @param model the model or adapter
     * @param reason why
     */
    record UnreadyNotice(CellName cell, ModelName model, UnreadyReason reason)
            implements PeerMessage {}

    /**
     * Reports the use of models to the holder of a cell.
     *
     * @param daemon the reporting daemon
     * @param cell the cell
     * @param uses the models in use
     */
    record UseReport(MemberId daemon, CellName cell, List<ModelUse> uses) implements PeerMessage {
        /** Copies the list. */
        public UseReport {
            uses = List.copyOf(uses);
        }
    }

    /**
     * Says that a cell has a new owner.
     *
     * @param cell the cell
     * @param term the number of the ownership
     * @param holder the owner
     */
    record TermAnnouncement(CellName cell, FencingToken term, MemberId holder)
            implements PeerMessage {}

    /**
     * Says that a daemon sends no orders of earlier terms any more.
     *
     * @param cell the cell
     * @param term the term that is acknowledged
     * @param member the daemon
     */
    record TermAcknowledgement(CellName cell, FencingToken term, MemberId member)
            implements PeerMessage {}

    /**
     * Asks the owner of a partition for a dispatch record.
     *
     * @param claim the identity of the request
     * @param key the call's idempotency key
     * @param untilDeadline how long until the claim has to be settled
     */
    record ClaimRequest(ClaimId claim, IdempotencyKey key, Duration untilDeadline)
            implements PeerMessage {}

    /**
     * Replies to a {@link ClaimRequest}.
     *
     * @param claim the identity of the request
     * @param result whether the call may be started
     */
    record ClaimReply(ClaimId claim, ClaimResult result) implements PeerMessage {}

    /**
     * Reports how a claimed call ended.
     *
     * @param key the call's idempotency key
     * @param state how it ended
     */
    record OutcomeReport(IdempotencyKey key, RecordState state) implements PeerMessage {}

    /**
     * Says that an endpoint gets no new work.
     *
     * @param endpoint the endpoint
     * @param condition why
     */
    record EndpointNotice(EndpointId endpoint, EndpointCondition condition)
            implements PeerMessage {}

    /**
     * What a runner holds, from the daemon that gives it orders.
     *
     * @param residency what it holds
     */
    record ResidencyStatement(Residency residency) implements PeerMessage {}

    /** Returns whether the message may come as a datagram, because a lost one is soon repeated. */
    default boolean isDatagram() {
        return this instanceof Membership
                || this instanceof UseReport
                || this instanceof ActivationRequest
                || this instanceof ReadyNotice
                || this instanceof ResidencyStatement;
    }
}
