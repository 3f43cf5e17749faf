package org.oleanderspring.peer.codec;

import com.google.protobuf.ByteString;
import java.util.List;
import org.oleanderspring.coordination.membership.Address;
import org.oleanderspring.coordination.membership.Member;
import org.oleanderspring.coordination.membership.MemberId;
import org.oleanderspring.coordination.membership.MemberState;
import org.oleanderspring.coordination.membership.MembershipMessage;
import org.oleanderspring.peer.generated.PeerProtocol;

/** Encodes and decodes membership messages. */
final class MembershipCodec {
    private MembershipCodec() {}

    static void encodeMembership(
            PeerProtocol.Envelope.Builder envelope, MembershipMessage message) {
        List<PeerProtocol.MemberRecord> updates =
                message.updates().stream().map(MembershipCodec::encodeMember).toList();
        ByteString digest = ByteString.copyFrom(message.digest());
        if (message instanceof MembershipMessage.Probe probe) {
            envelope.getProbeBuilder()
                    .setSequence(probe.sequence())
                    .setSender(encodeMember(probe.sender()))
                    .setWantsMembers(probe.wantsMembers())
                    .addAllUpdates(updates)
                    .setDigest(digest);
        } else if (message instanceof MembershipMessage.ProbeRequest request) {
            envelope.getProbeRequestBuilder()
                    .setSequence(request.sequence())
                    .setSender(encodeMember(request.sender()))
                    .setTarget(WireValues.encodeAddress(request.target()))
                    .addAllUpdates(updates)
                    .setDigest(digest);
        } else if (message instanceof MembershipMessage.Acknowledgement acknowledgement) {
            envelope.getAcknowledgementBuilder()
                    .setSequence(acknowledgement.sequence())
                    .setSender(encodeMember(acknowledgement.sender()))
                    .addAllUpdates(updates)
                    .setDigest(digest);
        }
    }

    static MembershipMessage decodeMembership(PeerProtocol.Envelope envelope) {
        if (envelope.hasProbe()) {
            PeerProtocol.Probe probe = envelope.getProbe();
            return new MembershipMessage.Probe(
                    probe.getSequence(),
                    decodeMember(probe.getSender()),
                    probe.getWantsMembers(),
                    decodeMembers(probe.getUpdatesList()),
                    probe.getDigest().toByteArray());
        }
        if (envelope.hasProbeRequest()) {
            PeerProtocol.ProbeRequest request = envelope.getProbeRequest();
            return new MembershipMessage.ProbeRequest(
                    request.getSequence(),
                    decodeMember(request.getSender()),
                    WireValues.decodeAddress(request.getTarget()),
                    decodeMembers(request.getUpdatesList()),
                    request.getDigest().toByteArray());
        }
        PeerProtocol.Acknowledgement acknowledgement = envelope.getAcknowledgement();
        return new MembershipMessage.Acknowledgement(
                acknowledgement.getSequence(),
                decodeMember(acknowledgement.getSender()),
                decodeMembers(acknowledgement.getUpdatesList()),
                acknowledgement.getDigest().toByteArray());
    }

    static PeerProtocol.MemberRecord encodeMember(Member member) {
        PeerProtocol.MemberRecord.Builder encoded =
                PeerProtocol.MemberRecord.newBuilder()
                        .setId(member.id().value())
                        .setPeerAddress(WireValues.encodeAddress(member.peerAddress()))
                        .setCallerPort(member.callerAddress().port())
                        .setFailureDomain(member.failureDomain())
                        .setIncarnation(member.incarnation())
                        .setCondition(encodeMemberState(member.state()));
        if (!member.callerAddress().ip().equals(member.peerAddress().ip())) {
            encoded.setCallerIp(member.callerAddress().ip());
        }
        return encoded.build();
    }

    static Member decodeMember(PeerProtocol.MemberRecord member) {
        Address peer = WireValues.decodeAddress(member.getPeerAddress());
        String callerIp = member.getCallerIp().isEmpty() ? peer.ip() : member.getCallerIp();
        return new Member(
                new MemberId(member.getId()),
                peer,
                new Address(callerIp, member.getCallerPort()),
                member.getFailureDomain(),
                member.getIncarnation(),
                decodeMemberState(member.getCondition()));
    }

    static List<Member> decodeMembers(List<PeerProtocol.MemberRecord> members) {
        return members.stream().map(MembershipCodec::decodeMember).toList();
    }

    static PeerProtocol.MemberCondition encodeMemberState(MemberState state) {
        return switch (state) {
            case ALIVE -> PeerProtocol.MemberCondition.MEMBER_ALIVE;
            case DRAINING -> PeerProtocol.MemberCondition.MEMBER_DRAINING;
            case SUSPECTED -> PeerProtocol.MemberCondition.MEMBER_SUSPECTED;
            case FAILED -> PeerProtocol.MemberCondition.MEMBER_FAILED;
            case LEFT -> PeerProtocol.MemberCondition.MEMBER_LEFT;
        };
    }

    static MemberState decodeMemberState(PeerProtocol.MemberCondition condition) {
        return switch (condition) {
            case MEMBER_ALIVE -> MemberState.ALIVE;
            case MEMBER_DRAINING -> MemberState.DRAINING;
            case MEMBER_SUSPECTED -> MemberState.SUSPECTED;
            case MEMBER_FAILED -> MemberState.FAILED;
            case MEMBER_LEFT -> MemberState.LEFT;
            case MEMBER_CONDITION_UNSPECIFIED, UNRECOGNIZED ->
                    throw WireValues.unknown("member condition");
        };
    }
}
