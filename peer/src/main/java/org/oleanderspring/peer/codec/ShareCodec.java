package org.oleanderspring.peer.codec;

import java.time.Duration;
import java.time.Instant;
import org.oleanderspring.coordination.membership.MemberId;
import org.oleanderspring.core.share.RateKey;
import org.oleanderspring.core.share.ShareGrant;
import org.oleanderspring.core.share.ShareRequest;
import org.oleanderspring.peer.PeerMessage;
import org.oleanderspring.peer.generated.PeerProtocol;

/** Encodes and decodes the messages about rates that all daemons share. */
final class ShareCodec {
    private ShareCodec() {}

    static PeerProtocol.ShareRequest encode(PeerMessage.ShareRequested requested) {
        ShareRequest request = requested.request();
        return PeerProtocol.ShareRequest.newBuilder()
                .setDaemon(requested.daemon().value())
                .setKey(request.key().value())
                .setNumber(request.number())
                .addAllCosts(request.costs())
                .setReserve(request.reserve())
                .setReturned(request.returned())
                .setReturnedAgeMillis(millis(request.returnedAge()))
                .build();
    }

    static PeerProtocol.ShareGrant encode(PeerMessage.ShareGranted granted) {
        ShareGrant grant = granted.grant();
        return PeerProtocol.ShareGrant.newBuilder()
                .setKey(grant.key().value())
                .setNumber(grant.number())
                .setUnits(grant.units())
                .setAvailableInMillis(millis(grant.availableIn()))
                .build();
    }

    static PeerProtocol.IssuerConfirmationRequest encode(
            PeerMessage.IssuerConfirmationRequested requested) {
        return PeerProtocol.IssuerConfirmationRequest.newBuilder()
                .setDaemon(requested.daemon().value())
                .setKey(requested.key().value())
                .setAskedAtMillis(requested.askedAt().toEpochMilli())
                .build();
    }

    static PeerProtocol.IssuerConfirmation encode(PeerMessage.IssuerConfirmed confirmed) {
        return PeerProtocol.IssuerConfirmation.newBuilder()
                .setKey(confirmed.key().value())
                .setAskedAtMillis(confirmed.askedAt().toEpochMilli())
                .build();
    }

    static PeerMessage decode(PeerProtocol.ShareRequest request) {
        return new PeerMessage.ShareRequested(
                new MemberId(WireValues.nonEmpty(request.getDaemon())),
                new ShareRequest(
                        key(request.getKey()),
                        request.getNumber(),
                        request.getCostsList(),
                        request.getReserve(),
                        request.getReturned(),
                        duration(request.getReturnedAgeMillis())));
    }

    static PeerMessage decode(PeerProtocol.ShareGrant grant) {
        return new PeerMessage.ShareGranted(
                new ShareGrant(
                        key(grant.getKey()),
                        grant.getNumber(),
                        grant.getUnits(),
                        duration(grant.getAvailableInMillis())));
    }

    static PeerMessage decode(PeerProtocol.IssuerConfirmationRequest request) {
        return new PeerMessage.IssuerConfirmationRequested(
                new MemberId(WireValues.nonEmpty(request.getDaemon())),
                key(request.getKey()),
                Instant.ofEpochMilli(request.getAskedAtMillis()));
    }

    static PeerMessage decode(PeerProtocol.IssuerConfirmation confirmation) {
        return new PeerMessage.IssuerConfirmed(
                key(confirmation.getKey()), Instant.ofEpochMilli(confirmation.getAskedAtMillis()));
    }

    private static RateKey key(String value) {
        return new RateKey(WireValues.nonEmpty(value));
    }

    private static int millis(Duration duration) {
        return (int) Math.min(Integer.MAX_VALUE, WireValues.nonNegativeMillis(duration));
    }

    private static Duration duration(int millis) {
        return Duration.ofMillis(WireValues.requireNonNegative(millis));
    }
}
