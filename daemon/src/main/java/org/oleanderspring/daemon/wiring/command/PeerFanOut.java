package org.oleanderspring.daemon.wiring.command;

import java.time.Instant;
import org.jspecify.annotations.Nullable;
import org.oleanderspring.coordination.document.command.DocumentEvent;
import org.oleanderspring.coordination.membership.Address;
import org.oleanderspring.coordination.membership.command.MembershipEvent;
import org.oleanderspring.core.placement.command.PlacementEvent;
import org.oleanderspring.core.routing.Target;
import org.oleanderspring.core.routing.command.RoutingEvent;
import org.oleanderspring.daemon.dispatch.command.DispatchInput;
import org.oleanderspring.daemon.document.command.DocumentInput;
import org.oleanderspring.daemon.membership.command.MembershipInput;
import org.oleanderspring.daemon.placement.command.PlacementInput;
import org.oleanderspring.daemon.process.MonotonicClock;
import org.oleanderspring.daemon.routing.command.RoutingInput;
import org.oleanderspring.duty.command.EventSink;
import org.oleanderspring.duty.command.OfferResult;
import org.oleanderspring.peer.PeerMessage;
import org.oleanderspring.peer.ReceivedMessage;

/**
 * Forwards the messages of other daemons to the rings of the duties. A message for a full ring is
 * dropped: the network may lose it too, so senders repeat the messages that matter.
 */
public final class PeerFanOut implements EventSink<ReceivedMessage> {
    private final Rings mRings;
    private final MonotonicClock mClock;

    /**
     * Creates a sink for the messages that the peer transport receives.
     *
     * @param rings the rings of the duties
     * @param clock converts the remaining times in messages to deadlines of this daemon
     */
    public PeerFanOut(Rings rings, MonotonicClock clock) {
        mRings = rings;
        mClock = clock;
    }

    @Override
    public OfferResult offer(ReceivedMessage received) {
        PeerMessage message = received.message();
        if (message instanceof PeerMessage.Membership membership) {
            return mRings.membershipThread()
                    .offer(
                            new MembershipInput.Event(
                                    new MembershipEvent.MessageReceived(membership.message())));
        }
        OfferResult result = offerToDocumentDuty(received.sender(), message);
        if (result == null) {
            result = offerToPlacementDuty(received.sender(), message);
        }
        return result == null ? offerToDispatchOrRoutingDuty(received.sender(), message) : result;
    }

    private @Nullable OfferResult offerToDocumentDuty(Address sender, PeerMessage message) {
        if (message instanceof PeerMessage.DocumentPush push) {
            return offerDocumentEvent(new DocumentEvent.PushReceived(sender, push.document()));
        }
        if (message instanceof PeerMessage.DocumentFetch fetch) {
            return offerDocumentEvent(
                    new DocumentEvent.FetchRequested(sender, fetch.requestId(), fetch.name()));
        }
        if (message instanceof PeerMessage.DocumentReply reply) {
            return offerDocumentEvent(
                    new DocumentEvent.FetchReplied(
                            sender, reply.requestId(), reply.document(), reply.digest()));
        }
        return null;
    }

    private @Nullable OfferResult offerToPlacementDuty(Address sender, PeerMessage message) {
        if (message instanceof PeerMessage.ActivationRequest request) {
            Instant deadline = mClock.now().plus(request.untilDeadline());
            return mRings.placementThread()
                    .offer(
                            new PlacementInput.RemoteActivationRequested(
                                    request.cell(),
                                    request.daemon(),
                                    request.model(),
                                    deadline,
                                    request.waiting()));
        }
        if (message instanceof PeerMessage.UseReport report) {
            return mRings.placementThread()
                    .offer(
                            new PlacementInput.Event(
                                    report.cell(),
                                    new PlacementEvent.UseReported(
                                            report.daemon(), report.uses())));
        }
        if (message instanceof PeerMessage.TermAnnouncement announcement) {
            return mRings.placementThread()
                    .offer(
                            new PlacementInput.TermAnnounced(
                                    sender, announcement.cell(), announcement.term()));
        }
        if (message instanceof PeerMessage.TermAcknowledgement acknowledgement) {
            return mRings.placementThread()
                    .offer(
                            new PlacementInput.TermAcknowledged(
                                    sender, acknowledgement.cell(), acknowledgement.term()));
        }
        return null;
    }

    private OfferResult offerToDispatchOrRoutingDuty(Address sender, PeerMessage message) {
        if (message instanceof PeerMessage.ClaimRequest claim) {
            return mRings.dispatchThread()
                    .offer(
                            new DispatchInput.RemoteClaimRequested(
                                    sender, claim.claim(), claim.key(), claim.untilDeadline()));
        }
        if (message instanceof PeerMessage.ClaimReply reply) {
            return mRings.dispatchThread()
                    .offer(new DispatchInput.ClaimReplied(reply.claim(), reply.result()));
        }
        if (message instanceof PeerMessage.OutcomeReport outcome) {
            return mRings.dispatchThread()
                    .offer(new DispatchInput.OutcomeReported(outcome.key(), outcome.state()));
        }
        if (message instanceof PeerMessage.ReadyNotice ready) {
            return offerRoutingEvent(
                    new RoutingEvent.ReadinessEstimated(
                            new Target.ModelTarget(ready.model()),
                            mClock.now().plus(ready.readyAfter())));
        }
        if (message instanceof PeerMessage.EndpointNotice notice) {
            return offerRoutingEvent(new RoutingEvent.EndpointDraining(notice.endpoint()));
        }
        return OfferResult.ACCEPTED;
    }

    private OfferResult offerDocumentEvent(DocumentEvent event) {
        return mRings.documentThread().offer(new DocumentInput.Event(event));
    }

    private OfferResult offerRoutingEvent(RoutingEvent event) {
        return mRings.routingThread().offer(new RoutingInput.Event(event));
    }
}
