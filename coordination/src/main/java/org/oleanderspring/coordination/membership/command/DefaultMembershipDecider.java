package org.oleanderspring.coordination.membership.command;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.random.RandomGenerator;
import org.jspecify.annotations.Nullable;
import org.oleanderspring.coordination.membership.Address;
import org.oleanderspring.coordination.membership.Member;
import org.oleanderspring.coordination.membership.MemberId;
import org.oleanderspring.coordination.membership.MemberList;
import org.oleanderspring.coordination.membership.MemberState;
import org.oleanderspring.coordination.membership.MembershipMessage;
import org.oleanderspring.coordination.membership.MembershipOptions;
import org.oleanderspring.coordination.membership.query.DigestSource;
import org.oleanderspring.coordination.membership.query.MemberQueries;
import org.oleanderspring.coordination.membership.query.RandomChoice;

/**
 * Gossip-based membership and failure detection with suspicion, following the SWIM protocol.
 *
 * <p>In each period one member is probed. If it does not reply, other members are asked to probe
 * it; if no reply arrives by the end of the period it is suspected, and declared failed unless it
 * refutes the suspicion with a higher incarnation in time. Membership updates are piggybacked on
 * these messages.
 *
 * <p>The views of all members converge: {@link Member#replaces} defines an order on the
 * descriptions of a member, each member keeps the highest one that it received, and only the member
 * itself increases its incarnation. A message to a suspected or failed member always contains that
 * description, so a live member learns of it and refutes it. Addresses of the VM list at which no
 * live member is known are probed periodically, so that the sides of a partition find each other
 * again after it has healed. Safety does not depend on the VM list.
 */
public final class DefaultMembershipDecider implements MembershipDecider, MemberQueries {
    /** After joining, an unreached address of the VM list is probed once in this many periods. */
    private static final int PERIODS_PER_SEED_PROBE = 5;

    /** The number of unreached addresses of the VM list to probe in each period while joining. */
    private static final int JOIN_PROBES = 3;

    /** This member counts as joining for this many periods after its start. */
    private static final int JOIN_PERIODS = 60;

    /** After joining, the probes of one in this many periods ask for further members. */
    private static final int PERIODS_PER_MEMBER_REQUEST = 20;

    /** The number of members that are notified directly when this member leaves. */
    private static final int LEAVE_MESSAGES = 5;

    /** The largest number of live members to consider for a reply that lists further members. */
    private static final int LIVE_MEMBER_CANDIDATES = 32;

    /** The estimated encoded size of a message without its members and its digest, in bytes. */
    private static final int MESSAGE_FIXED_BYTES = 32;

    private final MembershipOptions mOptions;
    private final DigestSource mDigests;
    private final RandomGenerator mRandom;
    private final MemberTable mTable;
    private final ProbeTracker mProbes;
    private final UpdateQueue mUpdates = new UpdateQueue();
    private @Nullable Instant mLastTimerAt;
    private Instant mNextPeriodAt;
    private long mPeriodCount;
    private long mPublishedChangeCount;

    /**
     * Creates a decider.
     *
     * @param self this member
     * @param options the protocol parameters
     * @param digests provides the document digest of each message
     * @param random the source of random choices of members
     * @param now the current time
     */
    public DefaultMembershipDecider(
            Member self,
            MembershipOptions options,
            DigestSource digests,
            RandomGenerator random,
            Instant now) {
        mOptions = Objects.requireNonNull(options, "options");
        mDigests = Objects.requireNonNull(digests, "digests");
        mRandom = Objects.requireNonNull(random, "random");
        mTable = new MemberTable(self, now);
        mProbes = new ProbeTracker(random);
        mNextPeriodAt = now;
    }

    @Override
    public List<MembershipDecision> decide(MembershipEvent event, Instant now) {
        List<MembershipDecision> decisions = new ArrayList<>();
        if (event instanceof MembershipEvent.MessageReceived received) {
            onMessage(received.message(), now, decisions);
        } else if (event instanceof MembershipEvent.TimerFired) {
            onTimer(now, decisions);
        } else if (event instanceof MembershipEvent.SeedsListed listed) {
            mTable.setSeeds(listed.seeds());
        } else if (event instanceof MembershipEvent.DrainRequested) {
            announceState(MemberState.DRAINING, now);
        } else if (event instanceof MembershipEvent.LeaveRequested) {
            leave(now, decisions);
        }
        publishMembers(decisions);
        return List.copyOf(decisions);
    }

    @Override
    public Member self() {
        return mTable.self();
    }

    @Override
    public MemberList members() {
        return mTable.snapshot();
    }

    @Override
    public List<Member> knownMembers() {
        return mTable.allMembers();
    }

    private void onMessage(
            MembershipMessage message, Instant now, List<MembershipDecision> decisions) {
        if (message.sender().id().equals(self().id())) {
            return;
        }
        applyUpdate(message.sender(), now, decisions);
        message.updates().forEach(update -> applyRelayedUpdate(update, now, decisions));
        if (message instanceof MembershipMessage.Acknowledgement acknowledgement) {
            onAcknowledgement(acknowledgement, now, decisions);
            return;
        }
        Address peer = message.sender().peerAddress();
        decisions.add(new MembershipDecision.DigestReceived(peer, message.digest()));
        if (message instanceof MembershipMessage.Probe probe) {
            decisions.add(acknowledge(probe, now));
        } else if (message instanceof MembershipMessage.ProbeRequest request) {
            ProbeTracker.ProbeOrigin origin =
                    new ProbeTracker.ProbeOrigin(peer, request.sequence());
            long sequence = mProbes.beginIndirect(origin, request.target(), now);
            decisions.add(probe(request.target(), sequence, now));
        }
    }

    private void onAcknowledgement(
            MembershipMessage.Acknowledgement message,
            Instant now,
            List<MembershipDecision> decisions) {
        ProbeTracker.Pending probe = mProbes.end(message.sequence());
        if (probe == null) {
            return;
        }
        ProbeTracker.ProbeOrigin origin = probe.origin();
        if (origin != null) {
            decisions.add(
                    new MembershipDecision.SendMessage(
                            origin.address(), message.withSequence(origin.sequence())));
        }
        replaceEarlierRuns(message.sender(), now, decisions);
        decisions.add(
                new MembershipDecision.ProbeAcknowledged(
                        message.sender().peerAddress(), probe.sentAt(), message.digest()));
    }

    /**
     * Declares earlier process runs at the address of a member failed. The member replied to a
     * probe that was sent to this address, so no other run uses the address any more.
     */
    private void replaceEarlierRuns(
            Member current, Instant now, List<MembershipDecision> decisions) {
        for (Member member : mTable.liveAt(current.peerAddress())) {
            if (!member.id().equals(current.id())) {
                applyUpdate(member.withState(MemberState.FAILED), now, decisions);
            }
        }
    }

    private void onTimer(Instant now, List<MembershipDecision> decisions) {
        compensatePause(now);
        if (self().state() == MemberState.LEFT) {
            return;
        }
        requestIndirectProbes(now, decisions);
        Instant periodAgo = now.minus(mOptions.probePeriod());
        for (MemberId id : mProbes.takeFailed(periodAgo)) {
            Member member = mTable.find(id);
            if (member != null) {
                applyUpdate(member.withState(MemberState.SUSPECTED), now, decisions);
            }
        }
        for (Member member : mTable.suspectedBefore(now.minus(suspicionTime()))) {
            applyUpdate(member.withState(MemberState.FAILED), now, decisions);
        }
        mTable.removeUnchangedSince(now.minus(mOptions.memberRetention()));
        if (!now.isBefore(mNextPeriodAt)) {
            mNextPeriodAt = now.plus(mOptions.probePeriod());
            beginPeriod(now, decisions);
        }
    }

    /**
     * Compensates for a pause of this process: drops the pending probes and extends the suspicions
     * by the pause, since a reply that is missing after a pause is no evidence of a failure.
     */
    private void compensatePause(Instant now) {
        if (mLastTimerAt != null) {
            Duration gap = Duration.between(mLastTimerAt, now);
            if (gap.compareTo(mOptions.probePeriod()) > 0) {
                mProbes.clear();
                mTable.shiftTimes(gap);
            }
        }
        mLastTimerAt = now;
    }

    private void beginPeriod(Instant now, List<MembershipDecision> decisions) {
        mPeriodCount++;
        Member target = mProbes.next(mTable);
        if (target != null) {
            long sequence = mProbes.begin(target.peerAddress(), target.id(), now);
            decisions.add(probe(target.peerAddress(), sequence, now));
        }
        List<Address> seeds = mTable.unreachedSeeds();
        boolean joining = mPeriodCount <= JOIN_PERIODS || target == null;
        if (!joining && mPeriodCount % PERIODS_PER_SEED_PROBE != 0) {
            return;
        }
        int count = joining ? JOIN_PROBES : 1;
        for (Address seed : choose(seeds, count)) {
            decisions.add(probe(seed, mProbes.begin(seed, null, now), now));
        }
    }

    private void requestIndirectProbes(Instant now, List<MembershipDecision> decisions) {
        Instant sentBefore = now.minus(mOptions.acknowledgementTimeout());
        mProbes.takeUnanswered(sentBefore)
                .forEach(
                        (sequence, pending) ->
                                requestIndirectProbes(sequence, pending, now, decisions));
    }

    private void requestIndirectProbes(
            long sequence,
            ProbeTracker.Pending pending,
            Instant now,
            List<MembershipDecision> decisions) {
        if (pending.target() == null) {
            return;
        }
        List<Address> helpers =
                mTable.otherLiveMembers().stream()
                        .filter(member -> member.state() != MemberState.SUSPECTED)
                        .map(Member::peerAddress)
                        .filter(address -> !address.equals(pending.address()))
                        .toList();
        for (Address helper : choose(helpers, mOptions.indirectProbes())) {
            byte[] digest = mDigests.digest(now);
            MembershipMessage request =
                    new MembershipMessage.ProbeRequest(
                            sequence,
                            self(),
                            pending.address(),
                            updatesFor(helper, digest, false),
                            digest);
            decisions.add(new MembershipDecision.SendMessage(helper, request));
        }
    }

    private MembershipDecision probe(Address receiver, long sequence, Instant now) {
        byte[] digest = mDigests.digest(now);
        MembershipMessage probe =
                new MembershipMessage.Probe(
                        sequence,
                        self(),
                        wantsMembers(),
                        updatesFor(receiver, digest, false),
                        digest);
        return new MembershipDecision.SendMessage(receiver, probe);
    }

    private MembershipDecision acknowledge(MembershipMessage.Probe probe, Instant now) {
        Address receiver = probe.sender().peerAddress();
        byte[] digest = mDigests.digest(now);
        MembershipMessage reply =
                new MembershipMessage.Acknowledgement(
                        probe.sequence(),
                        self(),
                        updatesFor(receiver, digest, probe.wantsMembers()),
                        digest);
        return new MembershipDecision.SendMessage(receiver, reply);
    }

    /**
     * A joining member asks for members that it does not know, and every member does so
     * periodically.
     */
    private boolean wantsMembers() {
        boolean joining = mPeriodCount <= JOIN_PERIODS && !mTable.unreachedSeeds().isEmpty();
        return joining || mPeriodCount % PERIODS_PER_MEMBER_REQUEST == 0;
    }

    /**
     * Selects the updates of a message, as many as fit: the description of the receiver if it is
     * suspected, failed or left, so that it learns of that, then queued updates, and if requested
     * random live members.
     */
    private List<Member> updatesFor(Address receiver, byte[] digest, boolean withLiveMembers) {
        int bytes =
                mOptions.messageBytes()
                        - digest.length
                        - MESSAGE_FIXED_BYTES
                        - UpdateQueue.estimatedBytes(self());
        List<Member> updates = new ArrayList<>();
        for (Member member : mTable.suspectedFailedOrLeft()) {
            if (member.peerAddress().equals(receiver) && fits(member, bytes)) {
                updates.add(member);
                bytes -= UpdateQueue.estimatedBytes(member);
            }
        }
        for (Member member : mUpdates.take(bytes, mTable.otherLiveMembers().size() + 1)) {
            if (!updates.contains(member)) {
                updates.add(member);
            }
            bytes -= UpdateQueue.estimatedBytes(member);
        }
        if (withLiveMembers) {
            addLiveMembers(updates, bytes);
        }
        return updates;
    }

    private void addLiveMembers(List<Member> updates, int bytes) {
        int remaining = bytes;
        List<Member> otherMembers = mTable.otherLiveMembers();
        for (Member member : choose(otherMembers, LIVE_MEMBER_CANDIDATES)) {
            if (!fits(member, remaining)) {
                return;
            }
            if (!updates.contains(member)) {
                updates.add(member);
                remaining -= UpdateQueue.estimatedBytes(member);
            }
        }
    }

    private static boolean fits(Member member, int bytes) {
        return UpdateQueue.estimatedBytes(member) <= bytes;
    }

    private void applyUpdate(Member update, Instant now, List<MembershipDecision> decisions) {
        if (update.id().equals(self().id())) {
            refute(update, now);
            return;
        }
        Member known = mTable.find(update.id());
        if (known != null && !update.replaces(known)) {
            return;
        }
        mTable.put(update, now);
        mUpdates.add(update);
        MemberState before = known == null ? null : known.state();
        if (before != update.state()) {
            decisions.add(new MembershipDecision.MemberChanged(update, before));
        }
    }

    /**
     * Applies an update about a third member. While this member joins, updates about live members
     * that it did not know are not passed on: the other members know these members already, and
     * passing all of them on would fill the messages of a large fleet for many minutes.
     */
    private void applyRelayedUpdate(
            Member update, Instant now, List<MembershipDecision> decisions) {
        boolean passOn =
                mPeriodCount > JOIN_PERIODS
                        || update.state() != MemberState.ALIVE
                        || mTable.find(update.id()) != null;
        applyUpdate(update, now, decisions);
        if (!passOn) {
            mUpdates.remove(update.id());
        }
    }

    private void refute(Member update, Instant now) {
        Member self = self();
        boolean suspectedFailedOrLeft = update.state().compareTo(MemberState.SUSPECTED) >= 0;
        if (suspectedFailedOrLeft
                && update.incarnation() >= self.incarnation()
                && self.state().isLive()) {
            Member refuted = self.with(update.incarnation() + 1, self.state());
            mTable.put(refuted, now);
            mUpdates.add(refuted);
        }
    }

    private void announceState(MemberState state, Instant now) {
        Member self = self();
        if (self.state().compareTo(state) >= 0) {
            return;
        }
        Member announced = self.with(self.incarnation() + 1, state);
        mTable.put(announced, now);
        mUpdates.add(announced);
    }

    private void leave(Instant now, List<MembershipDecision> decisions) {
        announceState(MemberState.LEFT, now);
        List<Address> receivers =
                mTable.otherLiveMembers().stream().map(Member::peerAddress).toList();
        for (Address receiver : choose(receivers, LEAVE_MESSAGES)) {
            decisions.add(probe(receiver, mProbes.begin(receiver, null, now), now));
        }
    }

    private void publishMembers(List<MembershipDecision> decisions) {
        if (mPublishedChangeCount == mTable.changeCount()) {
            return;
        }
        mPublishedChangeCount = mTable.changeCount();
        decisions.add(new MembershipDecision.PublishMembers(mTable.snapshot()));
    }

    private Duration suspicionTime() {
        int members = mTable.otherLiveMembers().size() + 1;
        long logarithm = (long) Math.ceil(Math.max(1.0, Math.log10(members)));
        return mOptions.probePeriod().multipliedBy(mOptions.suspicionPeriods() * logarithm);
    }

    private <T> List<T> choose(List<T> candidates, int count) {
        return RandomChoice.of(candidates, count, mRandom);
    }
}
