package org.oleanderspring.peer.codec;

import com.google.protobuf.InvalidProtocolBufferException;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.oleanderspring.coordination.dispatch.ClaimId;
import org.oleanderspring.coordination.dispatch.IdempotencyKey;
import org.oleanderspring.coordination.dispatch.RecordState;
import org.oleanderspring.coordination.dispatch.command.ClaimResult;
import org.oleanderspring.coordination.document.DocumentDigest;
import org.oleanderspring.coordination.document.DocumentName;
import org.oleanderspring.coordination.lease.FencingToken;
import org.oleanderspring.coordination.membership.Address;
import org.oleanderspring.coordination.membership.MemberId;
import org.oleanderspring.core.fleet.CellName;
import org.oleanderspring.core.fleet.EndpointId;
import org.oleanderspring.core.fleet.ModelName;
import org.oleanderspring.core.placement.ModelUse;
import org.oleanderspring.core.placement.UnreadyReason;
import org.oleanderspring.peer.EndpointCondition;
import org.oleanderspring.peer.PeerMessage;
import org.oleanderspring.peer.ReceivedMessage;
import org.oleanderspring.peer.generated.PeerProtocol;

/**
 * Encodes peer messages as protobuf and decodes them. Only this package uses the generated types.
 *
 * <p>The constructors of the value types check their arguments, so a message with a value out of
 * range is reported as malformed. So is a message of an unknown type or with an unknown enum
 * constant. Ages are rounded up to whole milliseconds, so that no daemon appears to have more
 * recent information than it has.
 */
public final class PeerCodec {
    /** Creates a codec, which has no state and can be used on any thread. */
    public PeerCodec() {}

    /**
     * Encodes a message.
     *
     * @param sender this daemon's peer address; left out of membership messages, which contain it
     * @param message the message
     */
    public byte[] encode(Address sender, PeerMessage message) {
        PeerProtocol.Envelope.Builder envelope = PeerProtocol.Envelope.newBuilder();
        if (message instanceof PeerMessage.Membership membership) {
            MembershipCodec.encodeMembership(envelope, membership.message());
            return envelope.build().toByteArray();
        }
        envelope.setSender(WireValues.encodeAddress(sender));
        if (message instanceof PeerMessage.DocumentPush push) {
            envelope.getDocumentPushBuilder()
                    .setDocument(DocumentCodec.encodeDocument(push.document()));
        } else if (message instanceof PeerMessage.DocumentFetch fetch) {
            envelope.getDocumentFetchBuilder()
                    .setRequestId(fetch.requestId())
                    .setName(fetch.name().value());
        } else if (message instanceof PeerMessage.DocumentReply reply) {
            envelope.setDocumentReply(DocumentCodec.encodeDocumentReply(reply));
        } else if (message instanceof PeerMessage.EndpointNotice notice) {
            envelope.getEndpointNoticeBuilder()
                    .setEndpoint(notice.endpoint().value())
                    .setCondition(encodeCondition(notice.condition()));
        } else if (message instanceof PeerMessage.ResidencyStatement statement) {
            envelope.setResidencyStatement(ResidencyCodec.encode(statement.residency()));
        } else if (message instanceof PeerMessage.EndpointUseReport report) {
            envelope.setEndpointUseReport(EndpointLoadCodec.encode(report));
        } else if (message instanceof PeerMessage.EndpointLoadNotice notice) {
            envelope.setEndpointLoadNotice(EndpointLoadCodec.encode(notice));
        } else if (message instanceof PeerMessage.PermitRequested requested) {
            envelope.setPermitRequest(PermitCodec.encode(requested));
        } else if (message instanceof PeerMessage.PermitsGranted granted) {
            envelope.setPermitGrant(PermitCodec.encode(granted));
        } else if (message instanceof PeerMessage.ShareRequested requested) {
            envelope.setShareRequest(ShareCodec.encode(requested));
        } else if (message instanceof PeerMessage.ShareGranted granted) {
            envelope.setShareGrant(ShareCodec.encode(granted));
        } else if (message instanceof PeerMessage.IssuerConfirmationRequested requested) {
            envelope.setIssuerConfirmationRequest(ShareCodec.encode(requested));
        } else if (message instanceof PeerMessage.IssuerConfirmed confirmed) {
            envelope.setIssuerConfirmation(ShareCodec.encode(confirmed));
        } else if (message instanceof PeerMessage.CrashReport report) {
            envelope.setCrashReport(QuarantineCodec.encode(report));
        } else if (message instanceof PeerMessage.SoundParts sound) {
            envelope.setSoundParts(QuarantineCodec.encode(sound));
        } else if (message instanceof PeerMessage.QuarantineNotice notice) {
            envelope.setQuarantineNotice(QuarantineCodec.encode(notice));
        } else {
            encodePlacement(envelope, message);
            encodeDispatch(envelope, message);
        }
        return envelope.build().toByteArray();
    }

    /**
     * Decodes a message. Content that is not a valid message gives {@link
     * PeerDecodeResult.Malformed} rather than an exception.
     *
     * @param bytes the content of a frame or datagram
     */
    public PeerDecodeResult decode(ByteBuffer bytes) {
        try {
            PeerProtocol.Envelope envelope = PeerProtocol.Envelope.parseFrom(bytes);
            PeerMessage message = decodeMessage(envelope);
            Address sender =
                    message instanceof PeerMessage.Membership membership
                            ? membership.message().sender().peerAddress()
                            : WireValues.decodeAddress(envelope.getSender());
            return new PeerDecodeResult.Decoded(new ReceivedMessage(sender, message));
        } catch (InvalidProtocolBufferException | IllegalArgumentException malformed) {
            return new PeerDecodeResult.Malformed(String.valueOf(malformed.getMessage()));
        }
    }

    /**
     * Encodes a digest for use in a membership message. Ages are rounded up to whole milliseconds.
     *
     * @param digest the digest
     */
    public byte[] encodeDigest(DocumentDigest digest) {
        return DocumentCodec.encodeDocumentDigest(digest).toByteArray();
    }

    /**
     * Decodes the digest of a membership message; empty if the bytes are malformed.
     *
     * @param bytes the encoded digest
     */
    public Optional<DocumentDigest> decodeDigest(byte[] bytes) {
        try {
            return Optional.of(
                    DocumentCodec.decodeDocumentDigest(
                            PeerProtocol.DocumentDigest.parseFrom(bytes)));
        } catch (InvalidProtocolBufferException | IllegalArgumentException malformed) {
            return Optional.empty();
        }
    }

    private static void encodePlacement(
            PeerProtocol.Envelope.Builder envelope, PeerMessage message) {
        if (message instanceof PeerMessage.ActivationRequest activation) {
            envelope.getWakeRequestBuilder()
                    .setDaemon(activation.daemon().value())
                    .setCell(activation.cell().value())
                    .setModel(activation.model().value())
                    .setUntilDeadlineMillis(activation.untilDeadline().toMillis())
                    .setWaiting(activation.waiting());
        } else if (message instanceof PeerMessage.ReadyNotice ready) {
            envelope.getReadinessNoticeBuilder()
                    .setCell(ready.cell().value())
                    .setModel(ready.model().value())
                    .setReadyAfterMillis(WireValues.nonNegativeMillis(ready.readyAfter()));
        } else if (message instanceof PeerMessage.UnreadyNotice unready) {
            envelope.getReadinessNoticeBuilder()
                    .setCell(unready.cell().value())
                    .setModel(unready.model().value())
                    .setReason(encodeReason(unready.reason()));
        } else if (message instanceof PeerMessage.UseReport report) {
            envelope.getUseReportBuilder()
                    .setDaemon(report.daemon().value())
                    .setCell(report.cell().value())
                    .addAllUses(report.uses().stream().map(PeerCodec::encodeModelUse).toList());
        } else if (message instanceof PeerMessage.TermAnnouncement announcement) {
            envelope.getTermAnnouncementBuilder()
                    .setCell(announcement.cell().value())
                    .setTerm(announcement.term().value())
                    .setHolder(announcement.holder().value());
        } else if (message instanceof PeerMessage.TermAcknowledgement acknowledgement) {
            envelope.getTermAcknowledgementBuilder()
                    .setCell(acknowledgement.cell().value())
                    .setTerm(acknowledgement.term().value())
                    .setMember(acknowledgement.member().value());
        }
    }

    private static void encodeDispatch(
            PeerProtocol.Envelope.Builder envelope, PeerMessage message) {
        if (message instanceof PeerMessage.ClaimRequest request) {
            envelope.getClaimRequestBuilder()
                    .setClaim(encodeClaimId(request.claim()))
                    .setKey(request.key().value())
                    .setUntilDeadlineMillis(WireValues.nonNegativeMillis(request.untilDeadline()));
        } else if (message instanceof PeerMessage.ClaimReply reply) {
            PeerProtocol.ClaimReply.Builder encoded =
                    envelope.getClaimReplyBuilder().setClaim(encodeClaimId(reply.claim()));
            if (reply.result() instanceof ClaimResult.AlreadyClaimed already) {
                encoded.setAlreadyClaimed(encodeRecordState(already.state()));
            } else if (reply.result() instanceof ClaimResult.Unavailable unavailable) {
                encoded.setUnavailable(unavailable.reason());
            } else {
                encoded.setClaimed(true);
            }
        } else if (message instanceof PeerMessage.OutcomeReport report) {
            envelope.getOutcomeReportBuilder()
                    .setKey(report.key().value())
                    .setCondition(encodeRecordState(report.state()));
        }
    }

    private static PeerMessage decodeMessage(PeerProtocol.Envelope envelope) {
        return switch (envelope.getMessageCase()) {
            case PROBE, PROBE_REQUEST, ACKNOWLEDGEMENT ->
                    new PeerMessage.Membership(MembershipCodec.decodeMembership(envelope));
            case DOCUMENT_PUSH ->
                    new PeerMessage.DocumentPush(
                            DocumentCodec.decodeDocument(envelope.getDocumentPush().getDocument()));
            case DOCUMENT_FETCH ->
                    new PeerMessage.DocumentFetch(
                            envelope.getDocumentFetch().getRequestId(),
                            new DocumentName(envelope.getDocumentFetch().getName()));
            case DOCUMENT_REPLY -> DocumentCodec.decodeDocumentReply(envelope.getDocumentReply());
            case WAKE_REQUEST -> decodeActivationRequest(envelope.getWakeRequest());
            case READINESS_NOTICE -> decodeReadinessNotice(envelope.getReadinessNotice());
            case USE_REPORT -> decodeUseReport(envelope.getUseReport());
            case TERM_ANNOUNCEMENT -> decodeTermAnnouncement(envelope.getTermAnnouncement());
            case TERM_ACKNOWLEDGEMENT ->
                    decodeTermAcknowledgement(envelope.getTermAcknowledgement());
            case CLAIM_REQUEST -> decodeClaimRequest(envelope.getClaimRequest());
            case CLAIM_REPLY -> decodeClaimReply(envelope.getClaimReply());
            case OUTCOME_REPORT ->
                    new PeerMessage.OutcomeReport(
                            new IdempotencyKey(envelope.getOutcomeReport().getKey()),
                            decodeRecordState(envelope.getOutcomeReport().getCondition()));
            case ENDPOINT_NOTICE ->
                    new PeerMessage.EndpointNotice(
                            new EndpointId(
                                    WireValues.nonEmpty(
                                            envelope.getEndpointNotice().getEndpoint())),
                            decodeCondition(envelope.getEndpointNotice().getCondition()));
            case RESIDENCY_STATEMENT ->
                    new PeerMessage.ResidencyStatement(
                            ResidencyCodec.decode(envelope.getResidencyStatement()));
            case ENDPOINT_USE_REPORT -> EndpointLoadCodec.decode(envelope.getEndpointUseReport());
            case ENDPOINT_LOAD_NOTICE -> EndpointLoadCodec.decode(envelope.getEndpointLoadNotice());
            case PERMIT_REQUEST -> PermitCodec.decode(envelope.getPermitRequest());
            case PERMIT_GRANT -> PermitCodec.decode(envelope.getPermitGrant());
            case SHARE_REQUEST -> ShareCodec.decode(envelope.getShareRequest());
            case SHARE_GRANT -> ShareCodec.decode(envelope.getShareGrant());
            case ISSUER_CONFIRMATION_REQUEST ->
                    ShareCodec.decode(envelope.getIssuerConfirmationRequest());
            case ISSUER_CONFIRMATION -> ShareCodec.decode(envelope.getIssuerConfirmation());
            case CRASH_REPORT -> QuarantineCodec.decode(envelope.getCrashReport());
            case SOUND_PARTS -> QuarantineCodec.decode(envelope.getSoundParts());
            case QUARANTINE_NOTICE -> QuarantineCodec.decode(envelope.getQuarantineNotice());
            case MESSAGE_NOT_SET -> throw new IllegalArgumentException("unknown message type");
        };
    }

    private static PeerMessage decodeActivationRequest(PeerProtocol.WakeRequest activation) {
        return new PeerMessage.ActivationRequest(
                new MemberId(activation.getDaemon()),
                new CellName(WireValues.nonEmpty(activation.getCell())),
                new ModelName(WireValues.nonEmpty(activation.getModel())),
                Duration.ofMillis(activation.getUntilDeadlineMillis()),
                WireValues.requireNonNegative(activation.getWaiting()));
    }

    private static PeerMessage decodeReadinessNotice(PeerProtocol.ReadinessNotice notice) {
        CellName cell = new CellName(WireValues.nonEmpty(notice.getCell()));
        ModelName model = new ModelName(WireValues.nonEmpty(notice.getModel()));
        return switch (notice.getReadinessCase()) {
            case READY_AFTER_MILLIS ->
                    new PeerMessage.ReadyNotice(
                            cell, model, WireValues.decodeDuration(notice.getReadyAfterMillis()));
            case REASON ->
                    new PeerMessage.UnreadyNotice(cell, model, decodeReason(notice.getReason()));
            case READINESS_NOT_SET -> throw WireValues.unknown("readiness");
        };
    }

    private static PeerProtocol.UnreadyReason encodeReason(UnreadyReason reason) {
        return switch (reason) {
            case UNKNOWN_CHECKPOINT -> PeerProtocol.UnreadyReason.UNREADY_UNKNOWN_CHECKPOINT;
            case REPLICA_LIMIT -> PeerProtocol.UnreadyReason.UNREADY_REPLICA_LIMIT;
            case NO_MEMORY -> PeerProtocol.UnreadyReason.UNREADY_NO_MEMORY;
            case NO_RUNNER -> PeerProtocol.UnreadyReason.UNREADY_NO_RUNNER;
            case PLAN_FULL -> PeerProtocol.UnreadyReason.UNREADY_PLAN_FULL;
        };
    }

    private static UnreadyReason decodeReason(PeerProtocol.UnreadyReason reason) {
        return switch (reason) {
            case UNREADY_UNKNOWN_CHECKPOINT -> UnreadyReason.UNKNOWN_CHECKPOINT;
            case UNREADY_REPLICA_LIMIT -> UnreadyReason.REPLICA_LIMIT;
            case UNREADY_NO_MEMORY -> UnreadyReason.NO_MEMORY;
            case UNREADY_NO_RUNNER -> UnreadyReason.NO_RUNNER;
            case UNREADY_PLAN_FULL -> UnreadyReason.PLAN_FULL;
            case UNREADY_REASON_UNSPECIFIED, UNRECOGNIZED ->
                    throw WireValues.unknown("unready reason");
        };
    }

    private static PeerProtocol.ModelUse encodeModelUse(ModelUse use) {
        return PeerProtocol.ModelUse.newBuilder()
                .setModel(use.name().value())
                .setInFlight(use.inFlight())
                .setQueued(use.queued())
                .setArrived(use.arrived())
                .build();
    }

    private static PeerMessage decodeUseReport(PeerProtocol.UseReport report) {
        List<ModelUse> uses =
                report.getUsesList().stream()
                        .map(
                                use ->
                                        new ModelUse(
                                                new ModelName(WireValues.nonEmpty(use.getModel())),
                                                use.getInFlight(),
                                                use.getQueued(),
                                                use.getArrived()))
                        .toList();
        return new PeerMessage.UseReport(
                new MemberId(report.getDaemon()),
                new CellName(WireValues.nonEmpty(report.getCell())),
                uses);
    }

    private static PeerMessage decodeTermAnnouncement(PeerProtocol.TermAnnouncement announcement) {
        return new PeerMessage.TermAnnouncement(
                new CellName(WireValues.nonEmpty(announcement.getCell())),
                new FencingToken(announcement.getTerm()),
                new MemberId(announcement.getHolder()));
    }

    private static PeerMessage decodeTermAcknowledgement(
            PeerProtocol.TermAcknowledgement acknowledgement) {
        return new PeerMessage.TermAcknowledgement(
                new CellName(WireValues.nonEmpty(acknowledgement.getCell())),
                new FencingToken(acknowledgement.getTerm()),
                new MemberId(acknowledgement.getMember()));
    }

    private static PeerProtocol.ClaimId encodeClaimId(ClaimId claim) {
        return PeerProtocol.ClaimId.newBuilder()
                .setOrigin(claim.origin().value())
                .setNumber(claim.number())
                .build();
    }

    private static ClaimId decodeClaimId(PeerProtocol.ClaimId claim) {
        return new ClaimId(new MemberId(claim.getOrigin()), claim.getNumber());
    }

    private static PeerMessage decodeClaimRequest(PeerProtocol.ClaimRequest request) {
        return new PeerMessage.ClaimRequest(
                decodeClaimId(request.getClaim()),
                new IdempotencyKey(request.getKey()),
                WireValues.decodeDuration(request.getUntilDeadlineMillis()));
    }

    private static PeerMessage decodeClaimReply(PeerProtocol.ClaimReply reply) {
        ClaimResult result =
                switch (reply.getResultCase()) {
                    case CLAIMED -> decodeClaimed(reply);
                    case ALREADY_CLAIMED ->
                            new ClaimResult.AlreadyClaimed(
                                    decodeRecordState(reply.getAlreadyClaimed()));
                    case UNAVAILABLE -> new ClaimResult.Unavailable(reply.getUnavailable());
                    case RESULT_NOT_SET -> throw WireValues.unknown("claim result");
                };
        return new PeerMessage.ClaimReply(decodeClaimId(reply.getClaim()), result);
    }

    private static ClaimResult decodeClaimed(PeerProtocol.ClaimReply reply) {
        if (!reply.getClaimed()) {
            throw WireValues.unknown("claim result");
        }
        return new ClaimResult.Claimed();
    }

    private static PeerProtocol.RecordCondition encodeRecordState(RecordState state) {
        return switch (state) {
            case DISPATCHED -> PeerProtocol.RecordCondition.RECORD_DISPATCHED;
            case RAN -> PeerProtocol.RecordCondition.RECORD_RAN;
            case NOT_RUN -> PeerProtocol.RecordCondition.RECORD_NOT_RUN;
        };
    }

    private static RecordState decodeRecordState(PeerProtocol.RecordCondition condition) {
        return switch (condition) {
            case RECORD_DISPATCHED -> RecordState.DISPATCHED;
            case RECORD_RAN -> RecordState.RAN;
            case RECORD_NOT_RUN -> RecordState.NOT_RUN;
            case RECORD_CONDITION_UNSPECIFIED, UNRECOGNIZED ->
                    throw WireValues.unknown("record condition");
        };
    }

    private static PeerProtocol.EndpointCondition encodeCondition(EndpointCondition condition) {
        return switch (condition) {
            case DRAINING -> PeerProtocol.EndpointCondition.ENDPOINT_DRAINING;
            case GONE -> PeerProtocol.EndpointCondition.ENDPOINT_GONE;
        };
    }

    private static EndpointCondition decodeCondition(PeerProtocol.EndpointCondition condition) {
        return switch (condition) {
            case ENDPOINT_DRAINING -> EndpointCondition.DRAINING;
            case ENDPOINT_GONE -> EndpointCondition.GONE;
            case ENDPOINT_CONDITION_UNSPECIFIED, UNRECOGNIZED ->
                    throw WireValues.unknown("endpoint condition");
        };
    }
}
