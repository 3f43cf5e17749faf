package org.oleanderspring.peer;

import java.time.Duration;
import java.time.Instant;
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
import org.oleanderspring.coordination.membership.MemberId;
import org.oleanderspring.coordination.membership.MembershipMessage;
import org.oleanderspring.core.fleet.CellName;
import org.oleanderspring.core.fleet.EndpointId;
import org.oleanderspring.core.fleet.ModelName;
import org.oleanderspring.core.load.EndpointLoad;
import org.oleanderspring.core.load.EndpointUse;
import org.oleanderspring.core.permit.PermitGrant;
import org.oleanderspring.core.permit.PermitRequest;
import org.oleanderspring.core.placement.ModelUse;
import org.oleanderspring.core.placement.UnreadyReason;
import org.oleanderspring.core.quarantine.PromptPart;
import org.oleanderspring.core.quarantine.PromptPattern;
import org.oleanderspring.core.quarantine.SuspectCall;
import org.oleanderspring.core.residency.Residency;
import org.oleanderspring.core.share.RateKey;
import org.oleanderspring.core.share.ShareGrant;
import org.oleanderspring.core.share.ShareRequest;

/**
 * A message from one daemon to another.
 *
 * <p>Times are durations relative to the creation of the message, because the clocks of the daemons
 * differ.
 */
public sealed interface PeerMessage {
    /**
     * A membership message. Always sent as a datagram and rejected in a frame.
     *
     * @param message the message
     */
    record Membership(MembershipMessage message) implements PeerMessage {}

    /**
     * Sends a document that the receiver may not have yet.
     *
     * @param document the document
     */
    record DocumentPush(VersionedDocument document) implements PeerMessage {}

    /**
     * Requests a document.
     *
     * @param requestId identifies the request; assigned by the requesting daemon
     * @param name the name of the document
     */
    record DocumentFetch(long requestId, DocumentName name) implements PeerMessage {}

    /**
     * Replies to a {@link DocumentFetch}.
     *
     * @param requestId the identifier from the request
     * @param document the document; null if the sender has no copy of it
     * @param digest the digest of the documents that the sender has
     */
    record DocumentReply(
            long requestId, @Nullable VersionedDocument document, DocumentDigest digest)
            implements PeerMessage {}

    /**
     * Requests that the daemon that holds the lease of a cell load a model without a ready replica,
     * for which calls are waiting.
     *
     * @param daemon the daemon at which the calls are waiting
     * @param cell the cell
     * @param model the model or adapter
     * @param untilDeadline the time until the earliest deadline of the waiting calls; negative if
     *     it has passed
     * @param waiting the number of waiting calls
     */
    record ActivationRequest(
            MemberId daemon, CellName cell, ModelName model, Duration untilDeadline, int waiting)
            implements PeerMessage {}

    /**
     * Reports when a requested model is expected to be ready.
     *
     * @param cell the cell
     * @param model the model or adapter
     * @param readyAfter the estimated time until the model is ready
     */
    record ReadyNotice(CellName cell, ModelName model, Duration readyAfter)
            implements PeerMessage {}

    /**
     * Reports that a requested model cannot currently be made ready.
     *
     * @param cell the cell
     * @param model the model or adapter
     * @param reason why the model cannot be loaded
     */
    record UnreadyNotice(CellName cell, ModelName model, UnreadyReason reason)
            implements PeerMessage {}

    /**
     * Reports the use of models to the daemon that holds the lease of a cell.
     *
     * @param daemon the reporting daemon
     * @param cell the cell
     * @param uses the use counts of each model in use
     */
    record UseReport(MemberId daemon, CellName cell, List<ModelUse> uses) implements PeerMessage {
        /** Makes a defensive copy of the list. */
        public UseReport {
            uses = List.copyOf(uses);
        }
    }

    /**
     * Announces that a daemon has acquired the lease of a cell.
     *
     * @param cell the cell
     * @param term the fencing token of the lease
     * @param holder the daemon that holds the lease
     */
    record TermAnnouncement(CellName cell, FencingToken term, MemberId holder)
            implements PeerMessage {}

    /**
     * Confirms that a daemon no longer sends orders of terms before the announced one.
     *
     * @param cell the cell
     * @param term the fencing token from the announcement
     * @param member the confirming daemon
     */
    record TermAcknowledgement(CellName cell, FencingToken term, MemberId member)
            implements PeerMessage {}

    /**
     * Requests that the owner of a partition create the dispatch record of a call.
     *
     * @param claim identifies the request
     * @param key the idempotency key of the call
     * @param untilDeadline the time until the claim must be decided
     */
    record ClaimRequest(ClaimId claim, IdempotencyKey key, Duration untilDeadline)
            implements PeerMessage {}

    /**
     * Replies to a {@link ClaimRequest}.
     *
     * @param claim the identifier from the request
     * @param result whether the call may be started
     */
    record ClaimReply(ClaimId claim, ClaimResult result) implements PeerMessage {}

    /**
     * Reports the outcome of a claimed call.
     *
     * @param key the idempotency key of the call
     * @param state the new state of the dispatch record
     */
    record OutcomeReport(IdempotencyKey key, RecordState state) implements PeerMessage {}

    /**
     * Reports that an endpoint must not be given new work.
     *
     * @param endpoint the endpoint
     * @param condition the reason
     */
    record EndpointNotice(EndpointId endpoint, EndpointCondition condition)
            implements PeerMessage {}

    /**
     * Reports the models that a runner holds. Sent by the daemon that sends orders to the runner.
     *
     * @param residency the runner and its models
     */
    record ResidencyStatement(Residency residency) implements PeerMessage {}

    /**
     * Reports the calls of a daemon at endpoints to the daemon that sums them.
     *
     * @param daemon the reporting daemon
     * @param uses the endpoints at which it runs calls or received responses
     */
    record EndpointUseReport(MemberId daemon, List<EndpointUse> uses) implements PeerMessage {
        /** Copies the list. */
        public EndpointUseReport {
            uses = List.copyOf(uses);
        }
    }

    /**
     * Reports the calls of all daemons at endpoints.
     *
     * @param loads the endpoints that run calls or are slow; a part of them if there are many
     */
    record EndpointLoadNotice(List<EndpointLoad> loads) implements PeerMessage {
        /** Copies the list. */
        public EndpointLoadNotice {
            loads = List.copyOf(loads);
        }
    }

    /**
     * Asks for permits for calls to an endpoint that limits their rate.
     *
     * @param daemon the daemon that asks
     * @param request the request
     */
    record PermitRequested(MemberId daemon, PermitRequest request) implements PeerMessage {}

    /**
     * Replies to a {@link PermitRequested}.
     *
     * @param grant the permits
     */
    record PermitsGranted(PermitGrant grant) implements PeerMessage {}

    /**
     * Asks for a part of a rate that all daemons share.
     *
     * @param daemon the daemon that asks
     * @param request the request
     */
    record ShareRequested(MemberId daemon, ShareRequest request) implements PeerMessage {}

    /**
     * Replies to a {@link ShareRequested}.
     *
     * @param grant the part
     */
    record ShareGranted(ShareGrant grant) implements PeerMessage {}

    /**
     * Asks the second issuer of a shared rate to issue nothing for a time.
     *
     * @param daemon the first issuer
     * @param key the rate
     * @param askedAt the time by the clock of the first issuer
     */
    record IssuerConfirmationRequested(MemberId daemon, RateKey key, Instant askedAt)
            implements PeerMessage {}

    /**
     * Replies to an {@link IssuerConfirmationRequested}.
     *
     * @param key the rate
     * @param askedAt the time in the request
     */
    record IssuerConfirmed(RateKey key, Instant askedAt) implements PeerMessage {}

    /**
     * Reports the end of a runner and the calls that it was beginning to answer.
     *
     * @param reporter the daemon at which the calls were
     * @param runner the run of the runner's process that ended
     * @param age the time since the runner ended
     * @param calls the calls
     */
    record CrashReport(MemberId reporter, EndpointId runner, Duration age, List<SuspectCall> calls)
            implements PeerMessage {
        /** Copies the list. */
        public CrashReport {
            calls = List.copyOf(calls);
        }
    }

    /**
     * Replies to a {@link CrashReport}: names the suspected parts that were answered at the sender.
     *
     * @param parts the parts
     */
    record SoundParts(Set<PromptPart> parts) implements PeerMessage {
        /** Makes a defensive copy of the set. */
        public SoundParts {
            parts = Set.copyOf(parts);
        }
    }

    /**
     * Announces that calls with certain prompts are refused, or no longer are.
     *
     * @param pattern the parts that such prompts contain
     * @param generation the number of the decision
     * @param isWithdrawn whether the decision is withdrawn
     * @param isConfirmed whether a trial has confirmed the decision
     * @param trials the number of trials that daemons have begun
     * @param remaining the time for which calls are refused; negative if it is over
     * @param runners the runners whose ends led to the decision
     * @param requests the requests under which they ended
     */
    record QuarantineNotice(
            PromptPattern pattern,
            int generation,
            boolean isWithdrawn,
            boolean isConfirmed,
            int trials,
            Duration remaining,
            List<EndpointId> runners,
            List<String> requests)
            implements PeerMessage {
        /** Makes defensive copies of the lists. */
        public QuarantineNotice {
            runners = List.copyOf(runners);
            requests = List.copyOf(requests);
        }
    }

    /**
     * Returns whether the message may be sent as a datagram. This holds for messages whose loss is
     * harmless because they are repeated after a short time.
     */
    default boolean isAllowedAsDatagram() {
        return this instanceof Membership
                || this instanceof UseReport
                || this instanceof ActivationRequest
                || this instanceof ReadyNotice
                || this instanceof ResidencyStatement
                || this instanceof EndpointUseReport
                || this instanceof EndpointLoadNotice
                || this instanceof PermitRequested
                || this instanceof PermitsGranted
                || this instanceof ShareRequested
                || this instanceof ShareGranted
                || this instanceof IssuerConfirmationRequested
                || this instanceof IssuerConfirmed
                || this instanceof CrashReport
                || this instanceof SoundParts
                || this instanceof QuarantineNotice;
    }
}
