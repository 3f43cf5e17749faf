package org.oleanderspring.coordination.document;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import org.jspecify.annotations.Nullable;
import org.oleanderspring.coordination.document.command.DefaultDocumentDecider;
import org.oleanderspring.coordination.document.command.DocumentDecision;
import org.oleanderspring.coordination.document.command.DocumentEvent;
import org.oleanderspring.coordination.document.query.DigestSnapshot;
import org.oleanderspring.coordination.membership.Address;
import org.oleanderspring.coordination.membership.Member;
import org.oleanderspring.coordination.membership.MemberId;
import org.oleanderspring.coordination.membership.MemberState;

/**
 * One member of a {@link SimulatedDocuments}. Also tracks, independently of its decider, which
 * information can have reached it.
 */
final class DocumentNode {
    private static final Duration CLOCK_OFFSET = Duration.ofHours(1);
    private static final int FIRST_PORT = 7_000;

    private final int mIndex;
    private final String mDomain;
    private final SimulatedDocuments mSimulation;
    private final Deque<Runnable> mInbox = new ArrayDeque<>();
    private final Set<DocumentName> mWatches = new HashSet<>();
    private final Map<DocumentName, VersionedDocument> mApplied = new HashMap<>();
    private final Map<Integer, Instant> mDirectReplies = new HashMap<>();
    private final Map<Integer, Instant> mKnownReplies = new HashMap<>();
    private DefaultDocumentDecider mDecider;
    private DigestSnapshot mSnapshot = DigestSnapshot.EMPTY;
    private @Nullable Instant mKnownAt;
    private @Nullable Instant mGrantedUntil;
    private boolean mPaused;
    private int mRun;

    DocumentNode(int index, String domain, SimulatedDocuments simulation) {
        mIndex = index;
        mDomain = domain;
        mSimulation = simulation;
        mDecider = newDecider();
    }

    private DefaultDocumentDecider newDecider() {
        SplittableRandom random = new SplittableRandom(31L * mIndex + mRun);
        return new DefaultDocumentDecider(member(), SimulatedDocuments.OPTIONS, random);
    }

    int index() {
        return mIndex;
    }

    int run() {
        return mRun;
    }

    DefaultDocumentDecider decider() {
        return mDecider;
    }

    Member member() {
        Address peer = new Address("10.0.0.1", FIRST_PORT + mIndex);
        Address caller = new Address("10.0.0.2", FIRST_PORT + mIndex);
        MemberId id = new MemberId("member-" + mIndex + "-" + mRun);
        return new Member(id, peer, caller, mDomain, 0, MemberState.ALIVE);
    }

    /**
     * Returns the time on this member's clock, which differs from the clocks of the other members.
     */
    Instant localNow() {
        return mSimulation.now().plus(CLOCK_OFFSET.multipliedBy(mIndex));
    }

    /** Returns the information that this member can have now. */
    SenderKnowledge knowledge() {
        return new SenderKnowledge(mKnownAt, mSimulation.isSampled() ? mKnownReplies : Map.of());
    }

    DocumentDigest digest() {
        return mSnapshot.at(localNow());
    }

    boolean isPaused() {
        return mPaused;
    }

    void pause() {
        mPaused = true;
    }

    void resume() {
        mPaused = false;
        while (!mInbox.isEmpty() && !mPaused) {
            mInbox.remove().run();
        }
    }

    void restart() {
        mRun++;
        mInbox.clear();
        mWatches.clear();
        mApplied.clear();
        mDirectReplies.clear();
        mKnownReplies.clear();
        mKnownAt = null;
        mGrantedUntil = null;
        mPaused = false;
        mSnapshot = DigestSnapshot.EMPTY;
        mDecider = newDecider();
    }

    boolean watches(DocumentName name) {
        return mWatches.contains(name);
    }

    Set<DocumentName> takeWatches() {
        Set<DocumentName> watches = Set.copyOf(mWatches);
        mWatches.clear();
        return watches;
    }

    void receive(DocumentEvent event) {
        receiveThen(event, () -> {});
    }

    void receiveThen(DocumentEvent event, Runnable followUp) {
        whenRunning(
                () -> {
                    handle(event);
                    followUp.run();
                });
    }

    /** Delivers an event, unless the member was restarted after the given run. */
    void receiveIn(int run, DocumentEvent event) {
        if (run == mRun) {
            receive(event);
        }
    }

    void receiveRead(int run, Instant executedAt, DocumentEvent event) {
        if (run == mRun) {
            whenRunning(
                    () -> {
                        raiseKnownAt(executedAt);
                        handle(event);
                    });
        }
    }

    void receiveFrom(int sender, SenderKnowledge knowledge, DocumentEvent event) {
        whenRunning(
                () -> {
                    raiseKnownAt(knowledge.knownAt());
                    knowledge.lastReplies().forEach(this::recordKnownReply);
                    handle(event);
                });
    }

    void recordDirectReply(int sender, Instant sentAt) {
        mDirectReplies.merge(sender, sentAt, (a, b) -> a.isAfter(b) ? a : b);
        recordKnownReply(sender, sentAt);
    }

    private void recordKnownReply(int member, Instant repliedAt) {
        if (mSimulation.isSampled() && mSimulation.isWitness(member)) {
            mKnownReplies.merge(member, repliedAt, (a, b) -> a.isAfter(b) ? a : b);
        }
    }

    private boolean isInContactWithQuorum(Instant now) {
        Duration contactBound = SimulatedDocuments.OPTIONS.contactBound();
        Map<Integer, Instant> replies = mSimulation.isSampled() ? mKnownReplies : mDirectReplies;
        long inContact =
                replies.entrySet().stream()
                        .filter(reply -> reply.getKey() != mIndex)
                        .filter(reply -> !now.isAfter(reply.getValue().plus(contactBound)))
                        .count();
        if (!mSimulation.isSampled()) {
            return 2 * (inContact + 1) > mSimulation.nodes().size();
        }
        long withSelf = inContact + (mSimulation.isWitness(mIndex) ? 1 : 0);
        return 3 * withSelf >= 2 * SimulatedDocuments.OPTIONS.witnesses();
    }

    private void raiseKnownAt(@Nullable Instant time) {
        if (time != null && (mKnownAt == null || time.isAfter(mKnownAt))) {
            mKnownAt = time;
        }
    }

    private void whenRunning(Runnable action) {
        if (mPaused) {
            mInbox.add(action);
        } else {
            action.run();
        }
    }

    void handle(DocumentEvent event) {
        for (DocumentDecision decision : mDecider.decide(event, localNow())) {
            if (decision instanceof DocumentDecision.ApplyDocument applied) {
                apply(applied.document());
            } else if (decision instanceof DocumentDecision.StartWatch start) {
                startWatch(start.name());
            } else if (decision instanceof DocumentDecision.StopWatch stop) {
                mWatches.remove(stop.name());
            } else if (decision instanceof DocumentDecision.GrantAuthority grant) {
                mGrantedUntil = grant.until();
            } else if (decision instanceof DocumentDecision.WithdrawAuthority) {
                mGrantedUntil = null;
            } else if (decision instanceof DocumentDecision.PublishDigest publish) {
                mSnapshot = publish.snapshot();
            } else if (decision instanceof DocumentDecision.ReportChangeResult report) {
                mSimulation.settled(report.change(), report.result());
            } else {
                mSimulation.execute(this, decision);
            }
        }
    }

    private void startWatch(DocumentName name) {
        if (mSimulation.reachesService(this)) {
            mWatches.add(name);
        } else {
            int run = mRun;
            DocumentEvent failure = new DocumentEvent.WatchFailed(name, "no connection");
            mSimulation.after(Duration.ofSeconds(1), () -> receiveIn(run, failure));
        }
    }

    private void apply(VersionedDocument document) {
        VersionedDocument earlier = mApplied.put(document.name(), document);
        if (earlier != null && document.number() < earlier.number()) {
            throw new AssertionError(
                    "version at member "
                            + mIndex
                            + " decreased from "
                            + earlier
                            + " to "
                            + document);
        }
        if (!mSimulation.service().wasWritten(document)) {
            throw new AssertionError(
                    "member " + mIndex + " applied a version that was never accepted: " + document);
        }
    }

    boolean hasAuthority() {
        return mGrantedUntil != null && !localNow().isAfter(mGrantedUntil);
    }

    /**
     * Checks that a member with authority but without a majority has every version that was
     * accepted longer ago than the freshness bound.
     */
    private void checkUpToDate(Instant acceptedUpTo) {
        DocumentName name = SimulatedDocuments.SETTINGS;
        long accepted = mSimulation.service().highestAcceptedBefore(name, acceptedUpTo);
        if (mApplied.get(name).number() < accepted) {
            throw new AssertionError(
                    "member "
                            + mIndex
                            + " has authority with "
                            + mApplied.get(name)
                            + " although number "
                            + accepted
                            + " was accepted up to "
                            + acceptedUpTo);
        }
    }

    /** Checks that a member with authority received replies that justify it. */
    void checkAuthority() {
        if (!hasAuthority()) {
            return;
        }
        if (!mApplied.containsKey(SimulatedDocuments.SETTINGS)) {
            throw new AssertionError("member " + mIndex + " has authority without settings");
        }
        Instant now = mSimulation.now();
        if (isInContactWithQuorum(now)) {
            return;
        }
        Duration bound = SimulatedDocuments.OPTIONS.freshnessBound();
        if (mKnownAt == null || now.isAfter(mKnownAt.plus(bound))) {
            throw new AssertionError(
                    "member "
                            + mIndex
                            + " has authority without a reason; it can have the versions of the"
                            + " service up to "
                            + mKnownAt
                            + " and received replies of "
                            + (mSimulation.isSampled() ? mKnownReplies : mDirectReplies)
                            + " at "
                            + now);
        }
        checkUpToDate(now.minus(bound));
    }
}
