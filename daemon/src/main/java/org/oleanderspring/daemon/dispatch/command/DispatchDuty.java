package org.oleanderspring.daemon.dispatch.command;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.oleanderspring.coordination.dispatch.ClaimId;
import org.oleanderspring.coordination.dispatch.DispatchLimits;
import org.oleanderspring.coordination.dispatch.DispatchSettings;
import org.oleanderspring.coordination.dispatch.IdempotencyKey;
import org.oleanderspring.coordination.dispatch.command.ClaimResult;
import org.oleanderspring.coordination.dispatch.command.DefaultDispatchDecider;
import org.oleanderspring.coordination.dispatch.command.DispatchDecision;
import org.oleanderspring.coordination.dispatch.command.DispatchEvent;
import org.oleanderspring.coordination.dispatch.query.PartitionMap;
import org.oleanderspring.coordination.dispatch.query.RendezvousPartitionMap;
import org.oleanderspring.coordination.membership.Address;
import org.oleanderspring.coordination.membership.MemberId;
import org.oleanderspring.core.routing.CallId;
import org.oleanderspring.core.settings.FleetSettings;
import org.oleanderspring.core.settings.SettingName;
import org.oleanderspring.daemon.process.DaemonIdentity;
import org.oleanderspring.daemon.process.MonotonicClock;
import org.oleanderspring.daemon.process.StorePorts;
import org.oleanderspring.duty.command.EventHandler;
import org.oleanderspring.duty.command.EventSink;
import org.oleanderspring.duty.command.OnDemandTicker;
import org.oleanderspring.peer.PeerMessage;
import org.oleanderspring.peer.command.PeerSender;

/**
 * Sends claims to the owners of their partitions, and executes the dispatch decisions for the
 * partitions that this daemon owns. All state is confined to the dispatch thread.
 *
 * <p>A claim without a reply by its deadline is settled as unavailable. Its record may nevertheless
 * have been written. That is safe, since the call then never starts under this record.
 */
public final class DispatchDuty implements EventHandler<DispatchInput> {
    private static final Logger LOGGER = System.getLogger(DispatchDuty.class.getName());

    private final MemberId mSelf;
    private final DefaultDispatchDecider mDecider;
    private final DispatchLimits mLimits;
    private final StorePorts mStore;
    private final PeerSender mPeers;
    private final ClaimListener mListener;
    private final MonotonicClock mClock;
    private final EventSink<DispatchInput> mOwnRing;
    private final OnDemandTicker<DispatchInput> mTicker;
    private final PendingClaims mPendingClaims = new PendingClaims();

    /** The unsettled claims of other daemons, with the peer addresses that receive the replies. */
    private final Map<ClaimId, Address> mRemoteClaims = new HashMap<>();

    private PartitionMap mPartitions;
    private long mNextClaimNumber = 1;

    /**
     * Creates the duty; it handles events once its thread is started.
     *
     * @param self the identity of this daemon
     * @param decider decides about the partitions that this daemon owns
     * @param limits the limits of the decider; the number of partitions is used here as well
     * @param store the key-value service
     * @param peers sends messages to other daemons
     * @param listener receives the results of local claims, on the dispatch thread
     * @param clock the clock of all deadlines
     * @param ownRing the ring of this duty, which receives the replies of the key-value service
     * @param ticker requests short ticks while claims wait
     */
    public DispatchDuty(
            MemberId self,
            DefaultDispatchDecider decider,
            DispatchLimits limits,
            StorePorts store,
            PeerSender peers,
            ClaimListener listener,
            MonotonicClock clock,
            EventSink<DispatchInput> ownRing,
            OnDemandTicker<DispatchInput> ticker) {
        mSelf = self;
        mDecider = decider;
        mLimits = limits;
        mStore = store;
        mPeers = peers;
        mListener = listener;
        mClock = clock;
        mOwnRing = ownRing;
        mTicker = ticker;
        mPartitions = new RendezvousPartitionMap(List.of(self), limits.partitionCount());
    }

    @Override
    public void handle(DispatchInput input) {
        if (input instanceof DispatchInput.Event event) {
            decide(event.event());
        } else if (input instanceof DispatchInput.Tick) {
            tick();
        } else if (input instanceof DispatchInput.LocalClaimRequested claim) {
            handleLocalClaim(claim);
        } else if (input instanceof DispatchInput.RemoteClaimRequested claim) {
            handleRemoteClaim(claim);
        } else if (input instanceof DispatchInput.ClaimReplied replied) {
            settleLocalClaim(replied.claim(), replied.result());
        } else if (input instanceof DispatchInput.OutcomeReported outcome) {
            recordOutcome(outcome);
        } else if (input instanceof DispatchInput.MembersListed listed) {
            changeMembers(listed.members());
        } else if (input instanceof DispatchInput.SettingsChanged settings) {
            applySettings(settings.settings());
        } else if (input instanceof DispatchInput.PartitionsRequested query) {
            query.reply().complete(mDecider.partitions());
        }
        if (mDecider.waitingClaims() > 0 || !mPendingClaims.isEmpty()) {
            mTicker.requestTick(mClock.now());
        }
    }

    private void tick() {
        decide(new DispatchEvent.TimerFired());
        for (CallId call : mPendingClaims.takeExpired(mClock.now())) {
            mListener.claimSettled(
                    call,
                    new ClaimResult.Unavailable(
                            "the partition's owner did not reply by the deadline"));
        }
    }

    private void handleLocalClaim(DispatchInput.LocalClaimRequested claim) {
        ClaimId id = new ClaimId(mSelf, mNextClaimNumber++);
        mPendingClaims.add(id, claim.call(), claim.deadline());
        Optional<MemberId> owner = ownerOf(claim.key());
        if (owner.filter(mSelf::equals).isPresent()) {
            decide(new DispatchEvent.ClaimRequested(id, claim.key(), claim.deadline()));
            return;
        }
        Duration remaining = Duration.between(mClock.now(), claim.deadline());
        owner.flatMap(DaemonIdentity::addressOf)
                .ifPresentOrElse(
                        address ->
                                mPeers.send(
                                        address,
                                        new PeerMessage.ClaimRequest(id, claim.key(), remaining)),
                        () ->
                                settleLocalClaim(
                                        id,
                                        new ClaimResult.Unavailable(
                                                "the partition has no known owner")));
    }

    private void handleRemoteClaim(DispatchInput.RemoteClaimRequested claim) {
        if (ownerOf(claim.key()).filter(mSelf::equals).isEmpty()) {
            mPeers.send(
                    claim.from(),
                    new PeerMessage.ClaimReply(
                            claim.claim(),
                            new ClaimResult.Unavailable("another daemon owns the partition")));
            return;
        }
        mRemoteClaims.put(claim.claim(), claim.from());
        Instant deadline = mClock.now().plus(claim.remaining());
        decide(new DispatchEvent.ClaimRequested(claim.claim(), claim.key(), deadline));
    }

    private void recordOutcome(DispatchInput.OutcomeReported outcome) {
        Optional<MemberId> owner = ownerOf(outcome.key());
        if (owner.filter(mSelf::equals).isPresent()) {
            decide(new DispatchEvent.OutcomeReported(outcome.key(), outcome.state()));
            return;
        }
        owner.flatMap(DaemonIdentity::addressOf)
                .ifPresent(
                        address ->
                                mPeers.send(
                                        address,
                                        new PeerMessage.OutcomeReport(
                                                outcome.key(), outcome.state())));
    }

    private void changeMembers(List<MemberId> members) {
        mPartitions = new RendezvousPartitionMap(members, mLimits.partitionCount());
        decide(new DispatchEvent.OwnershipChanged(mPartitions.ownedBy(mSelf)));
    }

    private void applySettings(FleetSettings settings) {
        decide(
                new DispatchEvent.SettingsChanged(
                        new DispatchSettings(
                                Duration.ofSeconds(settings.value(SettingName.RECORD_RETENTION)),
                                (int) settings.value(SettingName.RECORD_WRITES))));
    }

    private Optional<MemberId> ownerOf(IdempotencyKey key) {
        return mPartitions.ownerOf(mPartitions.partitionOf(key));
    }

    private void decide(DispatchEvent event) {
        for (DispatchDecision decision : mDecider.decide(event, mClock.now())) {
            execute(decision);
        }
    }

    private void execute(DispatchDecision decision) {
        if (decision instanceof DispatchDecision.WriteValue write) {
            mStore.commands()
                    .compareAndSwap(write.command())
                    .thenAccept(
                            result ->
                                    offer(
                                            new DispatchEvent.WriteReplied(
                                                    write.operation(), result)));
        } else if (decision instanceof DispatchDecision.ReadValue read) {
            mStore.queries()
                    .read(read.key())
                    .thenAccept(
                            result ->
                                    offer(new DispatchEvent.ReadReplied(read.operation(), result)));
        } else if (decision instanceof DispatchDecision.ClaimSettled settled) {
            settle(settled);
        } else if (decision instanceof DispatchDecision.PhaseChanged changed) {
            LOGGER.log(
                    Level.DEBUG,
                    "[dispatch] Partition {0} entered phase {1}: {2}.",
                    changed.partition(),
                    changed.phase(),
                    changed.reason());
        }
    }

    private void settle(DispatchDecision.ClaimSettled settled) {
        if (settled.claim().origin().equals(mSelf)) {
            settleLocalClaim(settled.claim(), settled.result());
            return;
        }
        Address from = mRemoteClaims.remove(settled.claim());
        if (from != null) {
            mPeers.send(from, new PeerMessage.ClaimReply(settled.claim(), settled.result()));
        }
    }

    private void settleLocalClaim(ClaimId claim, ClaimResult result) {
        CallId call = mPendingClaims.take(claim);
        if (call == null) {
            return;
        }
        if (result instanceof ClaimResult.Unavailable unavailable) {
            LOGGER.log(
                    Level.INFO,
                    "[dispatch] No dispatch record for call {0}: {1}.",
                    call,
                    unavailable.reason());
        }
        mListener.claimSettled(call, result);
    }

    private void offer(DispatchEvent event) {
        mOwnRing.offer(new DispatchInput.Event(event));
    }
}
