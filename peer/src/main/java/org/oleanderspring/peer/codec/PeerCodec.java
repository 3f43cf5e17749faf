package org.oleanderspring.peer.codec;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.jspecify.annotations.Nullable;
import org.oleanderspring.coordination.dispatch.ClaimId;
import org.oleanderspring.coordination.dispatch.IdempotencyKey;
import org.oleanderspring.coordination.dispatch.RecordState;
import org.oleanderspring.coordination.dispatch.command.ClaimResult;
import org.oleanderspring.coordination.document.DocumentDigest;
import org.oleanderspring.coordination.document.DocumentName;
import org.oleanderspring.coordination.document.DocumentVersion;
import org.oleanderspring.coordination.document.VersionedDocument;
import org.oleanderspring.coordination.document.WitnessAge;
import org.oleanderspring.coordination.lease.FencingToken;
import org.oleanderspring.coordination.membership.Address;
import org.oleanderspring.coordination.membership.Member;
import org.oleanderspring.coordination.membership.MemberId;
import org.oleanderspring.coordination.membership.MemberState;
import org.oleanderspring.coordination.membership.MembershipMessage;
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
 * Translates between typed messages and protobuf; the only class that knows the generated types.
 *
 * <p>The value types check their own ranges, so a message with an impossible value is malformed.
 */
public final class PeerCodec {
    /** Creates a codec; it has no state. */
    public PeerCodec() {}

    /**
     * Returns the bytes of a message.
     *
     * @param sender this daemon's peer address
     * @param message the message
     */
    public byte[] encode(Address sender, PeerMessage message) {
        PeerProtocol.Envelope.Builder envelope = PeerProtocol.Envelope.newBuilder();
        if (message instanceof PeerMessage.Membership membership) {
            encodeMembership(envelope, membership.message());
            return envelope.build().toByteArray();
        }
        envelope.setSender(address(sender));
        if (message instanceof PeerMessage.DocumentPush push) {
            envelope.getDocumentPushBuilder().setDocument(document(push.document()));
        } else if (message instanceof PeerMessage.DocumentFetch fetch) {
            envelope.getDocumentFetchBuilder()
                    .setRequestId(fetch.requestId())
                    .setName(fetch.name().value());
        } else if (message instanceof PeerMessage.DocumentReply reply) {
            envelope.setDocumentReply(documentReply(reply));
        } else if (message instanceof PeerMessage.EndpointNotice notice) {
            envelope.getEndpointNoticeBuilder()
                    .setEndpoint(notice.endpoint().value())
                    .setCondition(condition(notice.condition()));
        } else if (message instanceof PeerMessage.ResidencyStatement statement) {
            envelope.setResidencyStatement(ResidencyCodec.encode(statement.residency()));
        } else {
            encodePlacement(envelope, message);
            encodeDispatch(envelope, message);
        }
        return envelope.build().toByteArray();
    }

    /**
     * Returns what bytes mean. Never throws; whatever is not a message is {@link
     * DecodedFrame.Malformed}.
     *
     * @param bytes the content of a frame or datagram
     */
    public DecodedFrame decode(ByteBuffer bytes) {
        try {
            PeerProtocol.Envelope envelope = PeerProtocol.Envelope.parseFrom(bytes);
            PeerMessage message = message(envelope);
            Address sender =
                    message instanceof PeerMessage.Membership membership
                            ? membership.message().sender().peerAddress()
                            : address(envelope.getSender());
            return new DecodedFrame.Understood(new ReceivedMessage(sender, message));
        } catch (InvalidProtocolBufferException | IllegalArgumentException malformed) {
            return new DecodedFrame.Malformed(String.valueOf(malformed.getMessage()));
        }
    }

    /**
     * Returns the bytes of a digest, for membership messages.
     *
     * @param digest the digest
     */
    public byte[] encodeDigest(DocumentDigest digest) {
        return digest(digest).toByteArray();
    }

    /**
     * Returns the digest in a membership message, or nothing if the bytes are malformed.
     *
     * @param bytes the bytes
     */
    public Optional<DocumentDigest> decodeDigest(byte[] bytes) {
        try {
            return Optional.of(digest(PeerProtocol.DocumentDigest.parseFrom(bytes)));
        } catch (InvalidProtocolBufferException | IllegalArgumentException malformed) {
            return Optional.empty();
        }
    }

    private static void encodeMembership(
            PeerProtocol.Envelope.Builder envelope, MembershipMessage message) {
        List<PeerProtocol.MemberRecord> updates =
                message.updates().stream().map(PeerCodec::member).toList();
        ByteString digest = ByteString.copyFrom(message.digest());
        if (message instanceof MembershipMessage.Probe probe) {
            envelope.getProbeBuilder()
                    .setSequence(probe.sequence())
                    .setSender(member(probe.sender()))
                    .setWantsMembers(probe.wantsMembers())
                    .addAllUpdates(updates)
                    .setDigest(digest);
        } else if (message instanceof MembershipMessage.ProbeRequest request) {
            envelope.getProbeRequestBuilder()
                    .setSequence(request.sequence())
                    .setSender(member(request.sender()))
                    .setTarget(address(request.target()))
                    .addAllUpdates(updates)
                    .setDigest(digest);
        } else if (message instanceof MembershipMessage.Acknowledgement acknowledgement) {
            envelope.getAcknowledgementBuilder()
                    .setSequence(acknowledgement.sequence())
                    .setSender(member(acknowledgement.sender()))
                    .addAllUpdates(updates)
                    .setDigest(digest);
        }
    }

    private static void encodePlacement(
            PeerProtocol.Envelope.Builder envelope, PeerMessage message) {
        if (message instanceof PeerMessage.ActivationRequest wake) {
            envelope.getWakeRequestBuilder()
                    .setDaemon(wake.daemon().value())
                    .setCell(wake.cell().value())
                    .setModel(wake.model().value())
                    .setUntilDeadlineMillis(wake.untilDeadline().toMillis())
                    .setWaiting(wake.waiting());
        } else if (message instanceof PeerMessage.ReadyNotice ready) {
            envelope.getReadinessNoticeBuilder()
                    .setCell(ready.cell().value())
                    .setModel(ready.model().value())
                    .setReadyAfterMillis(millis(ready.readyAfter()));
        } else if (message instanceof PeerMessage.UnreadyNotice unready) {
            envelope.getReadinessNoticeBuilder()
                    .setCell(unready.cell().value())
                    .setModel(unready.model().value())
                    .setReason(reason(unready.reason()));
        } else if (message instanceof PeerMessage.UseReport report) {
            envelope.getUseReportBuilder()
                    .setDaemon(report.daemon().value())
                    .setCell(report.cell().value())
                    .addAllUses(report.uses().stream().map(PeerCodec::use).toList());
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
                    .setClaim(claim(request.claim()))
                    .setKey(request.key().value())
                    .setUntilDeadlineMillis(millis(request.untilDeadline()));
        } else if (message instanceof PeerMessage.ClaimReply reply) {
            PeerProtocol.ClaimReply.Builder encoded =
                    envelope.getClaimReplyBuilder().setClaim(claim(reply.claim()));
            if (reply.result() instanceof ClaimResult.AlreadyClaimed already) {
                encoded.setAlreadyClaimed(condition(already.state()));
            } else if (reply.result() instanceof ClaimResult.Unavailable unavailable) {
                encoded.setUnavailable(unavailable.reason());
            } else {
                encoded.setClaimed(true);
            }
        } else if (message instanceof PeerMessage.OutcomeReport report) {
            envelope.getOutcomeReportBuilder()
                    .setKey(report.key().value())
                    .setCondition(condition(report.state()));
        }
    }

    private static PeerMessage message(PeerProtocol.Envelope envelope) {
        return switch (envelope.getMessageCase()) {
            case PROBE, PROBE_REQUEST, ACKNOWLEDGEMENT ->
                    new PeerMessage.Membership(membership(envelope));
            case DOCUMENT_PUSH ->
                    new PeerMessage.DocumentPush(
                            document(envelope.getDocumentPush().getDocument()));
            case DOCUMENT_FETCH ->
                    new PeerMessage.DocumentFetch(
                            envelope.getDocumentFetch().getRequestId(),
                            new DocumentName(envelope.getDocumentFetch().getName()));
            case DOCUMENT_REPLY -> documentReply(envelope.getDocumentReply());
            case WAKE_REQUEST -> wakeRequest(envelope.getWakeRequest());
            case READINESS_NOTICE -> readiness(envelope.getReadinessNotice());
            case USE_REPORT -> useReport(envelope.getUseReport());
            case TERM_ANNOUNCEMENT -> termAnnouncement(envelope.getTermAnnouncement());
            case TERM_ACKNOWLEDGEMENT -> termAcknowledgement(envelope.getTermAcknowledgement());
            case CLAIM_REQUEST -> claimRequest(envelope.getClaimRequest());
            case CLAIM_REPLY -> claimReply(envelope.getClaimReply());
            case OUTCOME_REPORT ->
                    new PeerMessage.OutcomeReport(
                            new IdempotencyKey(envelope.getOutcomeReport().getKey()),
                            state(envelope.getOutcomeReport().getCondition()));
            case ENDPOINT_NOTICE ->
                    new PeerMessage.EndpointNotice(
                            new EndpointId(named(envelope.getEndpointNotice().getEndpoint())),
                            condition(envelope.getEndpointNotice().getCondition()));
            case RESIDENCY_STATEMENT ->
                    new PeerMessage.ResidencyStatement(
                            ResidencyCodec.decode(envelope.getResidencyStatement()));
            case MESSAGE_NOT_SET -> throw new IllegalArgumentException("unknown message");
        };
    }

    private static MembershipMessage membership(PeerProtocol.Envelope envelope) {
        if (envelope.hasProbe()) {
            PeerProtocol.Probe probe = envelope.getProbe();
            return new MembershipMessage.Probe(
                    probe.getSequence(),
                    member(probe.getSender()),
                    probe.getWantsMembers(),
                    members(probe.getUpdatesList()),
                    probe.getDigest().toByteArray());
        }
        if (envelope.hasProbeRequest()) {
            PeerProtocol.ProbeRequest request = envelope.getProbeRequest();
            return new MembershipMessage.ProbeRequest(
                    request.getSequence(),
                    member(request.getSender()),
                    address(request.getTarget()),
                    members(request.getUpdatesList()),
                    request.getDigest().toByteArray());
        }
        PeerProtocol.Acknowledgement acknowledgement = envelope.getAcknowledgement();
        return new MembershipMessage.Acknowledgement(
                acknowledgement.getSequence(),
                member(acknowledgement.getSender()),
                members(acknowledgement.getUpdatesList()),
                acknowledgement.getDigest().toByteArray());
    }

    private static PeerProtocol.PeerAddress address(Address address) {
        return PeerProtocol.PeerAddress.newBuilder()
                .setIp(address.ip())
                .setPort(address.port())
                .build();
    }

    private static Address address(PeerProtocol.PeerAddress address) {
        return new Address(named(address.getIp()), address.getPort());
    }

    private static PeerProtocol.MemberRecord member(Member member) {
        PeerProtocol.MemberRecord.Builder encoded =
                PeerProtocol.MemberRecord.newBuilder()
                        .setId(member.id().value())
                        .setPeerAddress(address(member.peerAddress()))
                        .setCallerPort(member.callerAddress().port())
                        .setFailureDomain(member.failureDomain())
                        .setIncarnation(member.incarnation())
                        .setCondition(condition(member.state()));
        if (!member.callerAddress().ip().equals(member.peerAddress().ip())) {
            encoded.setCallerIp(member.callerAddress().ip());
        }
        return encoded.build();
    }

    private static Member member(PeerProtocol.MemberRecord member) {
        Address peer = address(member.getPeerAddress());
        String callerIp = member.getCallerIp().isEmpty() ? peer.ip() : member.getCallerIp();
        return new Member(
                new MemberId(member.getId()),
                peer,
                new Address(callerIp, member.getCallerPort()),
                member.getFailureDomain(),
                member.getIncarnation(),
                state(member.getCondition()));
    }

    private static List<Member> members(List<PeerProtocol.MemberRecord> members) {
        return members.stream().map(PeerCodec::member).toList();
    }

    private static PeerProtocol.MemberCondition condition(MemberState state) {
        return switch (state) {
            case ALIVE -> PeerProtocol.MemberCondition.MEMBER_ALIVE;
            case DRAINING -> PeerProtocol.MemberCondition.MEMBER_DRAINING;
            case SUSPECTED -> PeerProtocol.MemberCondition.MEMBER_SUSPECTED;
            case FAILED -> PeerProtocol.MemberCondition.MEMBER_FAILED;
            case LEFT -> PeerProtocol.MemberCondition.MEMBER_LEFT;
        };
    }

    private static MemberState state(PeerProtocol.MemberCondition condition) {
        return switch (condition) {
            case MEMBER_ALIVE -> MemberState.ALIVE;
            case MEMBER_DRAINING -> MemberState.DRAINING;
            case MEMBER_SUSPECTED -> MemberState.SUSPECTED;
            case MEMBER_FAILED -> MemberState.FAILED;
            case MEMBER_LEFT -> MemberState.LEFT;
            case MEMBER_CONDITION_UNSPECIFIED, UNRECOGNIZED -> throw unknown("member condition");
        };
    }

    private static PeerProtocol.Document document(VersionedDocument document) {
        return PeerProtocol.Document.newBuilder()
                .setName(document.name().value())
                .setNumber(document.number())
                .setContent(ByteString.copyFrom(document.bytes()))
                .build();
    }

    private static VersionedDocument document(PeerProtocol.Document document) {
        return new VersionedDocument(
                new DocumentName(document.getName()),
                document.getNumber(),
                document.getContent().toByteArray());
    }

    private static PeerProtocol.DocumentReply documentReply(PeerMessage.DocumentReply reply) {
        PeerProtocol.DocumentReply.Builder encoded =
                PeerProtocol.DocumentReply.newBuilder()
                        .setRequestId(reply.requestId())
                        .setDigest(digest(reply.digest()));
        VersionedDocument document = reply.document();
        if (document != null) {
            encoded.setDocument(document(document));
        }
        return encoded.build();
    }

    private static PeerMessage documentReply(PeerProtocol.DocumentReply reply) {
        @Nullable VersionedDocument document =
                reply.hasDocument() ? document(reply.getDocument()) : null;
        return new PeerMessage.DocumentReply(
                reply.getRequestId(), document, digest(reply.getDigest()));
    }

    /** The age is rounded up, so that no daemon looks fresher than it is. */
    private static PeerProtocol.DocumentDigest digest(DocumentDigest digest) {
        PeerProtocol.DocumentDigest.Builder encoded = PeerProtocol.DocumentDigest.newBuilder();
        for (DocumentVersion version : digest.versions()) {
            encoded.addVersionsBuilder()
                    .setName(version.name().value())
                    .setNumber(version.number())
                    .setChecksum(version.checksum());
        }
        Duration age = digest.serviceAge();
        if (age != null) {
            encoded.setServiceAgeMillis(millisRoundedUp(age));
        }
        for (WitnessAge witness : digest.witnesses()) {
            encoded.addWitnessesBuilder()
                    .setWitness(address(witness.witness()))
                    .setAgeMillis(millisRoundedUp(witness.age()));
        }
        return encoded.build();
    }

    private static DocumentDigest digest(PeerProtocol.DocumentDigest digest) {
        List<DocumentVersion> versions =
                digest.getVersionsList().stream()
                        .map(
                                version ->
                                        new DocumentVersion(
                                                new DocumentName(version.getName()),
                                                version.getNumber(),
                                                version.getChecksum()))
                        .toList();
        @Nullable Duration age =
                digest.hasServiceAgeMillis() ? duration(digest.getServiceAgeMillis()) : null;
        List<WitnessAge> witnesses =
                digest.getWitnessesList().stream()
                        .map(
                                witness ->
                                        new WitnessAge(
                                                address(witness.getWitness()),
                                                duration(witness.getAgeMillis())))
                        .toList();
        return new DocumentDigest(versions, age, witnesses);
    }

    private static long millisRoundedUp(Duration age) {
        return age.plusNanos(999_999).toMillis();
    }

    private static PeerMessage wakeRequest(PeerProtocol.WakeRequest wake) {
        return new PeerMessage.ActivationRequest(
                new MemberId(wake.getDaemon()),
                new CellName(named(wake.getCell())),
                new ModelName(named(wake.getModel())),
                Duration.ofMillis(wake.getUntilDeadlineMillis()),
                count(wake.getWaiting()));
    }

    private static PeerMessage readiness(PeerProtocol.ReadinessNotice notice) {
        CellName cell = new CellName(named(notice.getCell()));
        ModelName model = new ModelName(named(notice.getModel()));
        return switch (notice.getReadinessCase()) {
            case READY_AFTER_MILLIS ->
                    new PeerMessage.ReadyNotice(
                            cell, model, duration(notice.getReadyAfterMillis()));
            case REASON -> new PeerMessage.UnreadyNotice(cell, model, reason(notice.getReason()));
            case READINESS_NOT_SET -> throw unknown("readiness");
        };
    }

    private static PeerProtocol.UnreadyReason reason(UnreadyReason reason) {
        return switch (reason) {
            case UNKNOWN_CHECKPOINT -> PeerProtocol.UnreadyReason.UNREADY_UNKNOWN_CHECKPOINT;
            case REPLICA_LIMIT -> PeerProtocol.UnreadyReason.UNREADY_REPLICA_LIMIT;
            case NO_MEMORY -> PeerProtocol.UnreadyReason.UNREADY_NO_MEMORY;
            case NO_RUNNER -> PeerProtocol.UnreadyReason.UNREADY_NO_RUNNER;
            case PLAN_FULL -> PeerProtocol.UnreadyReason.UNREADY_PLAN_FULL;
        };
    }

    private static UnreadyReason reason(PeerProtocol.UnreadyReason reason) {
        return switch (reason) {
            case UNREADY_UNKNOWN_CHECKPOINT -> UnreadyReason.UNKNOWN_CHECKPOINT;
            case UNREADY_REPLICA_LIMIT -> UnreadyReason.REPLICA_LIMIT;
            case UNREADY_NO_MEMORY -> UnreadyReason.NO_MEMORY;
            case UNREADY_NO_RUNNER -> UnreadyReason.NO_RUNNER;
            case UNREADY_PLAN_FULL -> UnreadyReason.PLAN_FULL;
            case UNREADY_REASON_UNSPECIFIED, UNRECOGNIZED -> throw unknown("reason");
        };
    }

    private static PeerProtocol.ModelUse use(ModelUse use) {
        return PeerProtocol.ModelUse.newBuilder()
                .setModel(use.name().value())
                .setInFlight(use.inFlight())
                .setQueued(use.queued())
                .setArrived(use.arrived())
                .build();
    }

    private static PeerMessage useReport(PeerProtocol.UseReport report) {
        List<ModelUse> uses =
                report.getUsesList().stream()
                        .map(
                                use ->
                                        new ModelUse(
                                                new ModelName(named(use.getModel())),
                                                use.getInFlight(),
                                                use.getQueued(),
                                                use.getArrived()))
                        .toList();
        return new PeerMessage.UseReport(
                new MemberId(report.getDaemon()), new CellName(named(report.getCell())), uses);
    }

    private static PeerMessage termAnnouncement(PeerProtocol.TermAnnouncement announcement) {
        return new PeerMessage.TermAnnouncement(
                new CellName(named(announcement.getCell())),
                new FencingToken(announcement.getTerm()),
                new MemberId(announcement.getHolder()));
    }

    private static PeerMessage termAcknowledgement(
            PeerProtocol.TermAcknowledgement acknowledgement) {
        return new PeerMessage.TermAcknowledgement(
                new CellName(named(acknowledgement.getCell())),
                new FencingToken(acknowledgement.getTerm()),
                new MemberId(acknowledgement.getMember()));
    }

    private static PeerProtocol.ClaimId claim(ClaimId claim) {
        return PeerProtocol.ClaimId.newBuilder()
                .setOrigin(claim.origin().value())
                .setNumber(claim.number())
                .build();
    }

    private static ClaimId claim(PeerProtocol.ClaimId claim) {
        return new ClaimId(new MemberId(claim.getOrigin()), claim.getNumber());
    }

    private static PeerMessage claimRequest(PeerProtocol.ClaimRequest request) {
        return new PeerMessage.ClaimRequest(
                claim(request.getClaim()),
                new IdempotencyKey(request.getKey()),
                duration(request.getUntilDeadlineMillis()));
    }

    private static PeerMessage claimReply(PeerProtocol.ClaimReply reply) {
        ClaimResult result =
                switch (reply.getResultCase()) {
                    case CLAIMED -> claimed(reply);
                    case ALREADY_CLAIMED ->
                            new ClaimResult.AlreadyClaimed(state(reply.getAlreadyClaimed()));
                    case UNAVAILABLE -> new ClaimResult.Unavailable(reply.getUnavailable());
                    case RESULT_NOT_SET -> throw unknown("claim result");
                };
        return new PeerMessage.ClaimReply(claim(reply.getClaim()), result);
    }

    private static ClaimResult claimed(PeerProtocol.ClaimReply reply) {
        if (!reply.getClaimed()) {
            throw unknown("claim result");
        }
        return new ClaimResult.Claimed();
    }

    private static PeerProtocol.RecordCondition condition(RecordState state) {
        return switch (state) {
            case DISPATCHED -> PeerProtocol.RecordCondition.RECORD_DISPATCHED;
            case RAN -> PeerProtocol.RecordCondition.RECORD_RAN;
            case NOT_RUN -> PeerProtocol.RecordCondition.RECORD_NOT_RUN;
        };
    }

    private static RecordState state(PeerProtocol.RecordCondition condition) {
        return switch (condition) {
            case RECORD_DISPATCHED -> RecordState.DISPATCHED;
            case RECORD_RAN -> RecordState.RAN;
            case RECORD_NOT_RUN -> RecordState.NOT_RUN;
            case RECORD_CONDITION_UNSPECIFIED, UNRECOGNIZED -> throw unknown("record condition");
        };
    }

    private static PeerProtocol.EndpointCondition condition(EndpointCondition condition) {
        return switch (condition) {
            case DRAINING -> PeerProtocol.EndpointCondition.ENDPOINT_DRAINING;
            case GONE -> PeerProtocol.EndpointCondition.ENDPOINT_GONE;
        };
    }

    private static EndpointCondition condition(PeerProtocol.EndpointCondition condition) {
        return switch (condition) {
            case ENDPOINT_DRAINING -> EndpointCondition.DRAINING;
            case ENDPOINT_GONE -> EndpointCondition.GONE;
            case ENDPOINT_CONDITION_UNSPECIFIED, UNRECOGNIZED ->
                    throw unknown("endpoint condition");
        };
    }

    private static long millis(Duration duration) {
        return Math.max(0, duration.toMillis());
    }

    private static Duration duration(long millis) {
        if (millis < 0) {
            throw new IllegalArgumentException("duration is out of range");
        }
        return Duration.ofMillis(millis);
    }

    private static int count(int value) {
        if (value < 0) {
            throw new IllegalArgumentException("count is out of range");
        }
        return value;
    }

    private static String named(String name) {
        if (name.isEmpty()) {
            throw new IllegalArgumentException("name is missing");
        }
        return name;
    }

    private static IllegalArgumentException unknown(String what) {
        return new IllegalArgumentException("unknown " + what);
    }
}
