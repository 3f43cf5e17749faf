package org.oleanderspring.peer.codec;

import java.time.Duration;
import java.util.List;
import org.oleanderspring.coordination.membership.MemberId;
import org.oleanderspring.core.fleet.EndpointId;
import org.oleanderspring.core.permit.IssuerRank;
import org.oleanderspring.core.permit.PermitGrant;
import org.oleanderspring.core.permit.PermitRequest;
import org.oleanderspring.peer.PeerMessage;
import org.oleanderspring.peer.generated.PeerProtocol;

/** Encodes and decodes the messages about permits for calls. */
final class PermitCodec {
    private PermitCodec() {}

    static PeerProtocol.PermitRequest encode(PeerMessage.PermitRequested requested) {
        PermitRequest request = requested.request();
        return PeerProtocol.PermitRequest.newBuilder()
                .setDaemon(requested.daemon().value())
                .setEndpoint(request.endpoint().value())
                .setCount(request.count())
                .setLimitPerThousandSeconds(EndpointLoadCodec.encodeLimit(request.limit()))
                .setRank(
                        request.rank() == IssuerRank.FIRST
                                ? PeerProtocol.IssuerRank.ISSUER_FIRST
                                : PeerProtocol.IssuerRank.ISSUER_SECOND)
                .build();
    }

    static PeerProtocol.PermitGrant encode(PeerMessage.PermitsGranted granted) {
        PermitGrant grant = granted.grant();
        PeerProtocol.PermitGrant.Builder encoded =
                PeerProtocol.PermitGrant.newBuilder()
                        .setEndpoint(grant.endpoint().value())
                        .setNextStartInMillis(millis(grant.nextStartIn()));
        grant.startsIn().forEach(startIn -> encoded.addStartInMillis(millis(startIn)));
        return encoded.build();
    }

    static PeerMessage decode(PeerProtocol.PermitRequest request) {
        return new PeerMessage.PermitRequested(
                new MemberId(WireValues.nonEmpty(request.getDaemon())),
                new PermitRequest(
                        new EndpointId(WireValues.nonEmpty(request.getEndpoint())),
                        request.getCount(),
                        EndpointLoadCodec.decodeLimit(request.getLimitPerThousandSeconds()),
                        rank(request.getRank())));
    }

    static PeerMessage decode(PeerProtocol.PermitGrant grant) {
        if (grant.getStartInMillisCount() > PermitRequest.MAX_COUNT) {
            throw new IllegalArgumentException("permits: " + grant.getStartInMillisCount());
        }
        List<Duration> startsIn =
                grant.getStartInMillisList().stream().map(PermitCodec::duration).toList();
        return new PeerMessage.PermitsGranted(
                new PermitGrant(
                        new EndpointId(WireValues.nonEmpty(grant.getEndpoint())),
                        startsIn,
                        duration(grant.getNextStartInMillis())));
    }

    private static IssuerRank rank(PeerProtocol.IssuerRank rank) {
        return switch (rank) {
            case ISSUER_FIRST -> IssuerRank.FIRST;
            case ISSUER_SECOND -> IssuerRank.SECOND;
            case ISSUER_RANK_UNSPECIFIED, UNRECOGNIZED -> throw WireValues.unknown("rank");
        };
    }

    private static int millis(Duration duration) {
        return (int) Math.min(Integer.MAX_VALUE, WireValues.nonNegativeMillis(duration));
    }

    private static Duration duration(int millis) {
        return Duration.ofMillis(WireValues.requireNonNegative(millis));
    }
}
