package org.oleanderspring.daemon.peering.command;

import java.time.Duration;
import java.util.List;
import java.util.Set;
import org.jspecify.annotations.Nullable;
import org.oleanderspring.coordination.dispatch.ClaimId;
import org.oleanderspring.coordination.dispatch.IdempotencyKey;
import org.oleanderspring.coordination.dispatch.RecordState;
import org.oleanderspring.coordination.dispatch.command.ClaimResult;
import org.oleanderspring.coordination.document.DocumentDigest;
import org.oleanderspring.coordination.document.DocumentName;
import org.oleanderspring.coordination.document.VersionedDocument;
import org.oleanderspring.coordination.lease.FencingToken;
import org.oleanderspring.coordination.membership.Address;
import org.oleanderspring.coordination.membership.MemberId;
import org.oleanderspring.coordination.membership.MembershipMessage;
import org.oleanderspring.core.fleet.CellName;
import org.oleanderspring.core.fleet.ModelName;
import org.oleanderspring.core.placement.ModelUse;

/**
 * Sends messages to other daemons. Nothing here blocks, and any message may get lost; who needs an
 * answer sends again or gives up after a time.
 */
public interface PeerCommands {
    /**
     * Sends a membership message.
     *
     * @param receiver the peer address
     * @param message the message
     */
    void sendMembership(Address receiver, MembershipMessage message);

    /**
     * Sends a document.
     *
     * @param receiver the peer address
     * @param document the document
     */
    void pushDocument(Address receiver, VersionedDocument document);

    /**
     * Asks for a document.
     *
     * @param receiver the peer address
     * @param requestId returned with the reply
     * @param name the document
     */
    void fetchDocument(Address receiver, long requestId, DocumentName name);

    /**
     * Replies to a fetch.
     *
     * @param receiver the peer address
     * @param requestId the number of the request
     * @param document the document, or null if there is none
     * @param digest what this daemon has
     */
    void replyToFetch(
            Address receiver,
            long requestId,
            @Nullable VersionedDocument document,
            DocumentDigest digest);

    /**
     * Asks the holder of a cell to load a model.
     *
     * @param receiver the peer address
     * @param cell the cell
     * @param model the model or adapter
     * @param remaining the time to the earliest deadline among the waiting calls
     * @param waiting how many calls wait
     */
    void wake(Address receiver, CellName cell, ModelName model, Duration remaining, int waiting);

    /**
     * Tells a daemon whose calls wait when a model becomes ready.
     *
     * @param receiver the peer address
     * @param model the model or adapter
     * @param remaining the time until it is ready
     */
    void estimateReadiness(Address receiver, ModelName model, Duration remaining);

    /**
     * Reports the use of models to the holder of a cell.
     *
     * @param receiver the peer address
     * @param cell the cell
     * @param uses the models in use
     */
    void reportUse(Address receiver, CellName cell, List<ModelUse> uses);

    /**
     * Announces a new term of a cell.
     *
     * @param receiver the peer address
     * @param cell the cell
     * @param term the new term
     * @param awaited the daemon runs whose acknowledgement is awaited
     */
    void announceTerm(Address receiver, CellName cell, FencingToken term, Set<MemberId> awaited);

    /**
     * Acknowledges a term: no order of an earlier term is sent any more.
     *
     * @param receiver the peer address
     * @param cell the cell
     * @param term the term
     * @param member the daemon run for which it holds
     */
    void acknowledgeTerm(Address receiver, CellName cell, FencingToken term, MemberId member);

    /**
     * Asks the owner of a partition for a dispatch record.
     *
     * @param receiver the peer address
     * @param claim the identity of the request
     * @param key the idempotency key
     * @param remaining the time after which the result is of no use
     */
    void requestClaim(Address receiver, ClaimId claim, IdempotencyKey key, Duration remaining);

    /**
     * Replies to a claim.
     *
     * @param receiver the peer address
     * @param claim the identity of the request
     * @param result the result
     */
    void replyToClaim(Address receiver, ClaimId claim, ClaimResult result);

    /**
     * Reports how a recorded call ended.
     *
     * @param receiver the peer address
     * @param key the idempotency key
     * @param state how it ended
     */
    void reportOutcome(Address receiver, IdempotencyKey key, RecordState state);
}
