package org.oleanderspring.daemon.gateway.process.command;

import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Set;
import org.jspecify.annotations.Nullable;
import org.oleanderspring.coordination.membership.Address;
import org.oleanderspring.core.fleet.CellName;
import org.oleanderspring.core.fleet.ModelName;
import org.oleanderspring.core.fleet.ModelReference;
import org.oleanderspring.core.fleet.ServiceName;
import org.oleanderspring.core.load.EndpointLoad;
import org.oleanderspring.core.load.EndpointUse;
import org.oleanderspring.core.permit.PermitGrant;
import org.oleanderspring.core.permit.PermitRequest;
import org.oleanderspring.core.placement.ModelUse;
import org.oleanderspring.core.quarantine.PromptPart;
import org.oleanderspring.core.quarantine.QuarantineEntry;
import org.oleanderspring.core.quarantine.RunnerCrash;
import org.oleanderspring.core.quarantine.command.QuarantineEvent;
import org.oleanderspring.core.residency.ModelDemand;
import org.oleanderspring.core.residency.Residency;
import org.oleanderspring.core.residency.command.ResidencyEvent;
import org.oleanderspring.core.routing.Target;
import org.oleanderspring.core.share.RateKey;
import org.oleanderspring.core.share.ShareGrant;
import org.oleanderspring.core.share.ShareRequest;
import org.oleanderspring.daemon.gateway.GatewayMember;
import org.oleanderspring.daemon.gateway.GatewaySettings;
import org.oleanderspring.daemon.gateway.permit.command.PermitGrantNotifier;
import org.oleanderspring.daemon.gateway.permit.command.PermitInput;
import org.oleanderspring.daemon.gateway.placement.command.ResidencyInput;
import org.oleanderspring.daemon.gateway.placement.command.ResidencyNotifier;
import org.oleanderspring.daemon.gateway.quarantine.command.QuarantineNotifier;
import org.oleanderspring.daemon.gateway.routing.command.GatewayRoutingInput;
import org.oleanderspring.daemon.gateway.routing.command.PermitNotifier;
import org.oleanderspring.daemon.gateway.routing.command.PlacementNotifier;
import org.oleanderspring.daemon.gateway.routing.command.ShareRequester;
import org.oleanderspring.daemon.gateway.share.command.ShareInput;
import org.oleanderspring.daemon.gateway.share.command.ShareNotifier;
import org.oleanderspring.daemon.process.MonotonicClock;
import org.oleanderspring.duty.command.EventSink;
import org.oleanderspring.duty.command.OfferResult;
import org.oleanderspring.peer.PeerMessage;
import org.oleanderspring.peer.ReceivedMessage;
import org.oleanderspring.peer.SendResult;
import org.oleanderspring.peer.command.PeerSender;

/**
 * Sends messages of the gateway's duties to other daemons and offers received messages to the rings
 * of the duties. A message to this daemon itself is offered directly. A message is lost if the ring
 * has no room for it. In these messages a cell represents a service, with all its runners.
 */
final class PeerMessenger
        implements PlacementNotifier,
                PermitNotifier,
                PermitGrantNotifier,
                ShareRequester,
                ShareNotifier,
                ResidencyNotifier,
                QuarantineNotifier,
                EventSink<ReceivedMessage> {
    /** The number of endpoints in a message that still fits into a datagram. */
    private static final int LOADS_PER_DATAGRAM = 28;

    private final GatewaySettings mSettings;
    private final GatewayRings mRings;
    private final MonotonicClock mClock = new MonotonicClock(Clock.systemUTC());
    private volatile @Nullable PeerSender mSender;

    PeerMessenger(GatewaySettings settings, GatewayRings rings) {
        mSettings = settings;
        mRings = rings;
    }

    /** Sets the sender, which cannot be passed to the constructor because it needs this object. */
    void connect(PeerSender sender) {
        mSender = sender;
    }

    @Override
    public void reportDemand(GatewayMember holder, ServiceName service, List<ModelDemand> demands) {
        if (holder.equals(mSettings.self())) {
            mRings.offerDemand(new ResidencyEvent.DemandReported(holder.id(), service, demands));
            return;
        }
        List<ModelUse> uses =
                demands.stream()
                        .map(
                                demand ->
                                        new ModelUse(
                                                new ModelName(demand.model().toString()),
                                                demand.running(),
                                                demand.waiting(),
                                                demand.arrived()))
                        .toList();
        send(
                holder,
                new PeerMessage.UseReport(
                        mSettings.self().id(), new CellName(service.value()), uses));
    }

    @Override
    public void requestLoad(
            GatewayMember holder,
            Target.ServiceModelTarget target,
            int waiting,
            Duration untilDeadline) {
        if (holder.equals(mSettings.self())) {
            mRings.offerDemand(
                    new ResidencyEvent.LoadRequested(holder.id(), target, waiting, untilDeadline));
            return;
        }
        send(
                holder,
                new PeerMessage.ActivationRequest(
                        mSettings.self().id(),
                        new CellName(target.service().value()),
                        new ModelName(target.model().toString()),
                        untilDeadline,
                        waiting));
    }

    @Override
    public void notifyResidency(GatewayMember member, Residency residency) {
        if (member.equals(mSettings.self())) {
            mRings.routing().offer(new GatewayRoutingInput.ResidencyReceived(residency));
            return;
        }
        send(member, new PeerMessage.ResidencyStatement(residency));
    }

    @Override
    public void notifyReadyTime(
            GatewayMember member, Target.ServiceModelTarget target, Duration readyAfter) {
        if (member.equals(mSettings.self())) {
            offerEstimate(target, readyAfter);
            return;
        }
        send(
                member,
                new PeerMessage.ReadyNotice(
                        new CellName(target.service().value()),
                        new ModelName(target.model().toString()),
                        readyAfter));
    }

    @Override
    public void reportEndpointUse(GatewayMember holder, List<EndpointUse> uses) {
        if (holder.equals(mSettings.self())) {
            mRings.offerDemand(new ResidencyInput.EndpointUseReported(holder.id(), uses));
            return;
        }
        send(holder, new PeerMessage.EndpointUseReport(mSettings.self().id(), uses));
    }

    @Override
    public void notifyEndpointLoads(GatewayMember member, List<EndpointLoad> loads) {
        if (member.equals(mSettings.self())) {
            mRings.routing().offer(new GatewayRoutingInput.EndpointLoadsReceived(loads));
            return;
        }
        for (int from = 0; from < loads.size(); from += LOADS_PER_DATAGRAM) {
            int to = Math.min(loads.size(), from + LOADS_PER_DATAGRAM);
            send(member, new PeerMessage.EndpointLoadNotice(loads.subList(from, to)));
        }
    }

    @Override
    public void requestPermits(GatewayMember issuer, PermitRequest request) {
        if (issuer.equals(mSettings.self())) {
            mRings.permits().offer(new PermitInput.Requested(issuer.id(), request));
            return;
        }
        send(issuer, new PeerMessage.PermitRequested(mSettings.self().id(), request));
    }

    @Override
    public void sendPermits(GatewayMember member, PermitGrant grant) {
        if (member.equals(mSettings.self())) {
            mRings.routing().offer(new GatewayRoutingInput.PermitsReceived(grant));
            return;
        }
        send(member, new PeerMessage.PermitsGranted(grant));
    }

    @Override
    public void requestShare(GatewayMember issuer, ShareRequest request) {
        if (issuer.equals(mSettings.self())) {
            mRings.shares().offer(new ShareInput.Requested(issuer.id(), request));
            return;
        }
        send(issuer, new PeerMessage.ShareRequested(mSettings.self().id(), request));
    }

    @Override
    public void sendShare(GatewayMember member, ShareGrant grant) {
        if (member.equals(mSettings.self())) {
            mRings.routing().offer(new GatewayRoutingInput.ShareReceived(grant));
            return;
        }
        send(member, new PeerMessage.ShareGranted(grant));
    }

    @Override
    public void requestConfirmation(GatewayMember member, RateKey key, Instant askedAt) {
        send(
                member,
                new PeerMessage.IssuerConfirmationRequested(mSettings.self().id(), key, askedAt));
    }

    @Override
    public void confirm(GatewayMember member, RateKey key, Instant askedAt) {
        send(member, new PeerMessage.IssuerConfirmed(key, askedAt));
    }

    private void offerEstimate(Target.ServiceModelTarget target, Duration readyAfter) {
        mRings.routing().offer(new GatewayRoutingInput.ReadinessEstimated(target, readyAfter));
    }

    @Override
    public void sendCrash(GatewayMember member, RunnerCrash crash, Duration age) {
        send(
                member,
                new PeerMessage.CrashReport(
                        mSettings.self().id(), crash.runner(), age, crash.calls()));
    }

    @Override
    public void sendSoundParts(GatewayMember member, Set<PromptPart> parts) {
        send(member, new PeerMessage.SoundParts(parts));
    }

    @Override
    public void sendEntry(GatewayMember member, QuarantineEntry entry, Duration remaining) {
        send(
                member,
                new PeerMessage.QuarantineNotice(
                        entry.pattern(),
                        entry.generation(),
                        entry.isWithdrawn(),
                        entry.isConfirmed(),
                        entry.trials(),
                        remaining,
                        entry.runners(),
                        entry.requests()));
    }

    /**
     * Sends a message as a datagram, which a peer that has stopped responding cannot hold up, or
     * over a connection if it is too large. Before {@link #connect}, the message is dropped.
     */
    private void send(GatewayMember member, PeerMessage message) {
        PeerSender sender = mSender;
        if (sender == null) {
            return;
        }
        Address address = new Address(member.frontAddress().ip(), mSettings.peerPort());
        if (sender.sendDatagram(address, message) == SendResult.TOO_LARGE) {
            sender.send(address, message);
        }
    }

    @Override
    public OfferResult offer(ReceivedMessage received) {
        PeerMessage message = received.message();
        if (message instanceof PeerMessage.ResidencyStatement statement) {
            return mRings.routing()
                    .offer(new GatewayRoutingInput.ResidencyReceived(statement.residency()));
        }
        if (message instanceof PeerMessage.PermitRequested requested) {
            return mRings.permits()
                    .offer(new PermitInput.Requested(requested.daemon(), requested.request()));
        }
        if (message instanceof PeerMessage.PermitsGranted granted) {
            return mRings.routing().offer(new GatewayRoutingInput.PermitsReceived(granted.grant()));
        }
        ShareInput shareInput = shareInput(message);
        if (shareInput != null) {
            return mRings.shares().offer(shareInput);
        }
        if (message instanceof PeerMessage.ShareGranted granted) {
            return mRings.routing().offer(new GatewayRoutingInput.ShareReceived(granted.grant()));
        }
        QuarantineEvent quarantineEvent = quarantineEvent(message);
        if (quarantineEvent != null) {
            return mRings.offerQuarantine(quarantineEvent);
        }
        if (message instanceof PeerMessage.EndpointUseReport report) {
            mRings.offerDemand(
                    new ResidencyInput.EndpointUseReported(report.daemon(), report.uses()));
        } else if (message instanceof PeerMessage.EndpointLoadNotice notice) {
            return mRings.routing()
                    .offer(new GatewayRoutingInput.EndpointLoadsReceived(notice.loads()));
        } else if (message instanceof PeerMessage.ReadyNotice notice) {
            offerEstimate(target(notice.cell(), notice.model()), notice.readyAfter());
        } else if (message instanceof PeerMessage.UseReport report) {
            mRings.offerDemand(demandEvent(report));
        } else if (message instanceof PeerMessage.ActivationRequest request) {
            mRings.offerDemand(loadEvent(request));
        }
        return OfferResult.ACCEPTED;
    }

    /** Returns the event of a message to an issuer of shared rates, or null for another one. */
    private static @Nullable ShareInput shareInput(PeerMessage message) {
        if (message instanceof PeerMessage.ShareRequested requested) {
            return new ShareInput.Requested(requested.daemon(), requested.request());
        }
        if (message instanceof PeerMessage.IssuerConfirmationRequested requested) {
            return new ShareInput.ConfirmationRequested(
                    requested.daemon(), requested.key(), requested.askedAt());
        }
        if (message instanceof PeerMessage.IssuerConfirmed confirmed) {
            return new ShareInput.Confirmed(confirmed.key(), confirmed.askedAt());
        }
        return null;
    }

    /** Returns the event of a message about prompts, or null if it is about something else. */
    private @Nullable QuarantineEvent quarantineEvent(PeerMessage message) {
        if (message instanceof PeerMessage.CrashReport report) {
            return new QuarantineEvent.CrashReported(
                    report.reporter(),
                    new RunnerCrash(
                            report.runner(), mClock.now().minus(report.age()), report.calls()));
        }
        if (message instanceof PeerMessage.SoundParts sound) {
            return new QuarantineEvent.SoundPartsReported(sound.parts());
        }
        if (message instanceof PeerMessage.QuarantineNotice notice) {
            return new QuarantineEvent.EntryReceived(
                    new QuarantineEntry(
                            notice.pattern(),
                            notice.generation(),
                            notice.isWithdrawn(),
                            notice.isConfirmed(),
                            notice.trials(),
                            mClock.now().plus(notice.remaining()),
                            notice.runners(),
                            notice.requests()));
        }
        return null;
    }

    private static ResidencyEvent demandEvent(PeerMessage.UseReport report) {
        List<ModelDemand> demands =
                report.uses().stream()
                        .map(
                                use ->
                                        new ModelDemand(
                                                ModelReference.parse(use.name().value()),
                                                use.queued(),
                                                use.inFlight(),
                                                use.arrived()))
                        .toList();
        return new ResidencyEvent.DemandReported(
                report.daemon(), new ServiceName(report.cell().value()), demands);
    }

    private static ResidencyEvent loadEvent(PeerMessage.ActivationRequest request) {
        return new ResidencyEvent.LoadRequested(
                request.daemon(),
                target(request.cell(), request.model()),
                request.waiting(),
                request.untilDeadline());
    }

    private static Target.ServiceModelTarget target(CellName cell, ModelName model) {
        return new Target.ServiceModelTarget(
                new ServiceName(cell.value()), ModelReference.parse(model.value()));
    }
}
