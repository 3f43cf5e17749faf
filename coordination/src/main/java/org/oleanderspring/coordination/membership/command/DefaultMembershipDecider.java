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
 * Gossip membership with suspicion (SWIM).
 *
 * <p>In each period one member is probed. If it does not reply, other members are asked to probe
 * it; if no reply arrives by the end of the period it is suspected, and declared failed unless it
 * refutes the suspicion with a higher incarnation in time. Updates travel with these messages.
 *
 * <p>All members agree in the end: {@link Member#replaces} orders what can be said of a member,
 * each member keeps the highest statement it heard, and only the member itself raises its
 * incarnation. A message to a suspected or failed member always contains that statement, so a live
 * member hears of it and refutes it. Addresses of the VM list without a live member are probed now
 * and then, so the sides of a healed partition find each other again. Nothing relies on the list
 * for safety.
 */
public final class DefaultMembershipDecider implements MembershipDecider, MemberQueries {
    private static final int SEED_PROBE_PERIODS = 5;
    private static final int JOIN_PROBES = 3;
    private static final int JOIN_PERIODS = 60;
    private static final int MEMBERS_WANTED_PERIODS = 20;
    private static final int LEAVE_MESSAGES = 5;
    private static final int FILL_CANDIDATES = 32;
    private static final int MESSAGE_FIXED_BYTES = 32;

    private final MembershipOptions mOptions;
    private final DigestSource mDigests;
    private final RandomGenerator mRandom;
    private final MemberTable mTable;
    private final ProbeRounds mRounds;
    private final UpdateQueue mUpdates = new UpdateQueue();
    private @Nullable Instant mLastTimerAt;
    private Instant mNextPeriodAt;
    private long mPeriods;
    private long mPublishedChanges;

    /**
     * Creates a decider.
     *
     * @param self this member
     * @param options the numbers to work by
     * @param digests provides the digest of each message
     * @param random chooses members
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
        mRounds = new ProbeRounds(random);
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
            mTable.setSeeds(listed.entries());
        } else if (event instanceof MembershipEvent.DrainRequested) {
            describeSelf(MemberState.DRAINING, now);
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
        return mTable.remembered();
    }

    private void onMessage(
            MembershipMessage message, Instant now, List<MembershipDecision> decisions) {
        if (message.sender().id().equals(self().id())) {
            return;
        }
        learn(message.sender(), now, decisions);
        message.updates().forEach(update -> learnFromOthers(update, now, decisions));
        if (message instanceof MembershipMessage.Acknowledgement acknowledgement) {
            onAcknowledgement(acknowledgement, now, decisions);
            return;
        }
        Address peer = message.sender().peerAddress();
        decisions.add(new MembershipDecision.DigestReceived(peer, message.digest()));
        if (message instanceof MembershipMessage.Probe probe) {
            decisions.add(acknowledge(probe, now));
        } else if (message instanceof MembershipMessage.ProbeRequest request) {
            ProbeRounds.MembershipOrigin origin =
                    new ProbeRounds.MembershipOrigin(peer, request.sequence());
            long sequence = mRounds.beginFor(origin, request.target(), now);
            decisions.add(probe(request.target(), sequence, now));
        }
    }

    private void onAcknowledgement(
            MembershipMessage.Acknowledgement message,
            Instant now,
            List<MembershipDecision> decisions) {
        ProbeRounds.Pending probe = mRounds.end(message.sequence());
        if (probe == null) {
            return;
        }
        ProbeRounds.MembershipOrigin origin = probe.origin();
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
     * Declares earlier runs at the address of a member failed. The member replied to a probe that
     * was sent to the address, so no other run uses the address now.
     */
    private void replaceEarlierRuns(
            Member current, Instant now, List<MembershipDecision> decisions) {
        for (Member member : mTable.liveAt(current.peerAddress())) {
            if (!member.id().equals(current.id())) {
                learn(member.withState(MemberState.FAILED), now, decisions);
            }
        }
    }

    private void onTimer(Instant now, List<MembershipDecision> decisions) {
        notePause(now);
        if (self().state() == MemberState.LEFT) {
            return;
        }
        askOthers(now, decisions);
        Instant periodAgo = now.minus(mOptions.probePeriod());
        for (MemberId id : mRounds.takeFailed(periodAgo)) {
            Member member = mTable.find(id);
            if (member != null) {
                learn(member.withState(MemberState.SUSPECTED), now, decisions);
            }
        }
        for (Member member : mTable.suspectedBefore(now.minus(suspicionTime()))) {
            learn(member.withState(MemberState.FAILED), now, decisions);
        }
        mTable.forgetBefore(now.minus(mOptions.forgetAfter()));
        if (!now.isBefore(mNextPeriodAt)) {
            mNextPeriodAt = now.plus(mOptions.probePeriod());
            beginPeriod(now, decisions);
        }
    }

    /**
     * Makes up for a pause of this member: probes and suspicions of before the pause say nothing
     * about the others.
     */
    private void notePause(Instant now) {
        if (mLastTimerAt != null) {
            Duration gap = Duration.between(mLastTimerAt, now);
            if (gap.compareTo(mOptions.probePeriod()) > 0) {
                mRounds.clear();
                mTable.addPause(gap);
            }
        }
        mLastTimerAt = now;
    }

    private void beginPeriod(Instant now, List<MembershipDecision> decisions) {
        mPeriods++;
        Member target = mRounds.next(mTable);
        if (target != null) {
            long sequence = mRounds.begin(target.peerAddress(), target.id(), now);
            decisions.add(probe(target.peerAddress(), sequence, now));
        }
        List<Address> seeds = mTable.unreachedSeeds();
        boolean joining = mPeriods <= JOIN_PERIODS || target == null;
        if (!joining && mPeriods % SEED_PROBE_PERIODS != 0) {
            return;
        }
        int count = joining ? JOIN_PROBES : 1;
        for (Address seed : choose(seeds, count)) {
            decisions.add(probe(seed, mRounds.begin(seed, null, now), now));
        }
    }

    private void askOthers(Instant now, List<MembershipDecision> decisions) {
        Instant sentBefore = now.minus(mOptions.acknowledgementTimeout());
        mRounds.takeUnanswered(sentBefore)
                .forEach((sequence, pending) -> askOthers(sequence, pending, now, decisions));
    }

    private void askOthers(
            long sequence,
            ProbeRounds.Pending pending,
            Instant now,
            List<MembershipDecision> decisions) {
        if (pending.target() == null) {
            return;
        }
        List<Address> helpers =
                mTable.liveOthers().stream()
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

    /** A member that joins, and now and then every member, asks for members it does not know. */
    private boolean wantsMembers() {
        boolean joining = mPeriods <= JOIN_PERIODS && !mTable.unreachedSeeds().isEmpty();
        return joining || mPeriods % MEMBERS_WANTED_PERIODS == 0;
    }

    private List<Member> updatesFor(Address receiver, byte[] digest, boolean fill) {
        int bytes =
                mOptions.messageBytes()
                        - digest.length
                        - MESSAGE_FIXED_BYTES
                        - UpdateQueue.estimatedBytes(self());
        List<Member> updates = new ArrayList<>();
        for (Member member : mTable.doubted()) {
            if (member.peerAddress().equals(receiver) && fits(member, bytes)) {
                updates.add(member);
                bytes -= UpdateQueue.estimatedBytes(member);
            }
        }
        for (Member member : mUpdates.take(bytes, mTable.liveOthers().size() + 1)) {
            if (!updates.contains(member)) {
                updates.add(member);
            }
            bytes -= UpdateQueue.estimatedBytes(member);
        }
        if (fill) {
            addOthers(updates, bytes);
        }
        return updates;
    }

    private void addOthers(List<Member> updates, int bytes) {
        int remaining = bytes;
        List<Member> others = mTable.liveOthers();
        for (Member member : choose(others, FILL_CANDIDATES)) {
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

    private void learn(Member heard, Instant now, List<MembershipDecision> decisions) {
        if (heard.id().equals(self().id())) {
            refute(heard, now);
            return;
        }
        Member known = mTable.find(heard.id());
        if (known != null && !heard.replaces(known)) {
            return;
        }
        mTable.put(heard, now);
        mUpdates.add(heard);
        MemberState before = known == null ? null : known.state();
        if (before != heard.state()) {
            decisions.add(new MembershipDecision.MemberChanged(heard, before));
        }
    }

    /**
     * Learns what a message says about third members. Members that are named to this one while it
     * joins are not news to others; passing all of them on would fill the messages of a large fleet
     * for many minutes.
     */
    private void learnFromOthers(Member heard, Instant now, List<MembershipDecision> decisions) {
        boolean isNews =
                mPeriods > JOIN_PERIODS
                        || heard.state() != MemberState.ALIVE
                        || mTable.find(heard.id()) != null;
        learn(heard, now, decisions);
        if (!isNews) {
            mUpdates.remove(heard.id());
        }
    }

    private void refute(Member heard, Instant now) {
        Member self = self();
        boolean doubted = heard.state().compareTo(MemberState.SUSPECTED) >= 0;
        if (doubted && heard.incarnation() >= self.incarnation() && self.state().isLive()) {
            Member refuted = self.with(heard.incarnation() + 1, self.state());
            mTable.put(refuted, now);
            mUpdates.add(refuted);
        }
    }

    private void describeSelf(MemberState state, Instant now) {
        Member self = self();
        if (self.state().compareTo(state) >= 0) {
            return;
        }
        Member described = self.with(self.incarnation() + 1, state);
        mTable.put(described, now);
        mUpdates.add(described);
    }

    private void leave(Instant now, List<MembershipDecision> decisions) {
        describeSelf(MemberState.LEFT, now);
        List<Address> others = mTable.liveOthers().stream().map(Member::peerAddress).toList();
        for (Address receiver : choose(others, LEAVE_MESSAGES)) {
            decisions.add(probe(receiver, mRounds.begin(receiver, null, now), now));
        }
    }

    private void publishMembers(List<MembershipDecision> decisions) {
        if (mPublishedChanges == mTable.changes()) {
            return;
        }
        mPublishedChanges = mTable.changes();
        decisions.add(new MembershipDecision.PublishMembers(mTable.snapshot()));
    }

    private Duration suspicionTime() {
        int members = mTable.liveOthers().size() + 1;
        long powers = (long) Math.ceil(Math.max(1.0, Math.log10(members)));
        return mOptions.probePeriod().multipliedBy(mOptions.suspicionPeriods() * powers);
    }

    private <T> List<T> choose(List<T> candidates, int count) {
        return RandomChoice.of(candidates, count, mRandom);
    }
}
