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

/** One member of a {@link DocumentWorld}, with the oracle's knowledge of what it can know. */
final class DocumentNode {
    private static final Duration CLOCK_DISTANCE = Duration.ofHours(1);
    private static final int FIRST_PORT = 7_000;

    private final int mIndex;
    private final String mDomain;
    private final DocumentWorld mWorld;
    private final Deque<Runnable> mInbox = new ArrayDeque<>();
    private final Set<DocumentName> mWatches = new HashSet<>();
    private final Map<DocumentName, VersionedDocument> mApplied = new HashMap<>();
    private final Map<Integer, Instant> mContacts = new HashMap<>();
    private final Map<Integer, Instant> mHeard = new HashMap<>();
    private DefaultDocumentDecider mDecider;
    private DigestSnapshot mSnapshot = DigestSnapshot.EMPTY;
    private @Nullable Instant mKnownAt;
    private @Nullable Instant mGrantedUntil;
    private boolean mPaused;
    private int mRun;

    DocumentNode(int index, String domain, DocumentWorld world) {
        mIndex = index;
        mDomain = domain;
        mWorld = world;
        mDecider = newDecider();
    }

    private DefaultDocumentDecider newDecider() {
        SplittableRandom random = new SplittableRandom(31L * mIndex + mRun);
        return new DefaultDocumentDecider(member(), DocumentWorld.OPTIONS, random);
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

    /** Each member's clock differs from the others'. */
    Instant localNow() {
        return mWorld.now().plus(CLOCK_DISTANCE.multipliedBy(mIndex));
    }

    /** Returns what this member can know now. */
    SenderKnowledge knowledge() {
        return new SenderKnowledge(mKnownAt, mWorld.isSampled() ? mHeard : Map.of());
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
        mContacts.clear();
        mHeard.clear();
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
                    tell(event);
                    followUp.run();
                });
    }

    /** Delivers an event to the run that it belongs to. */
    void receiveIn(int run, DocumentEvent event) {
        if (run == mRun) {
            receive(event);
        }
    }

    void receiveRead(int run, Instant executedAt, DocumentEvent event) {
        if (run == mRun) {
            whenRunning(
                    () -> {
                        knowUpTo(executedAt);
                        tell(event);
                    });
        }
    }

    void receiveFrom(int sender, SenderKnowledge tag, DocumentEvent event) {
        whenRunning(
                () -> {
                    knowUpTo(tag.knownAt());
                    tag.heard().forEach(this::hear);
                    tell(event);
                });
    }

    void noteContact(int sender, Instant sentAt) {
        mContacts.merge(sender, sentAt, (a, b) -> a.isAfter(b) ? a : b);
        hear(sender, sentAt);
    }

    private void hear(int member, Instant repliedAt) {
        if (mWorld.isSampled() && mWorld.isWitness(member)) {
            mHeard.merge(member, repliedAt, (a, b) -> a.isAfter(b) ? a : b);
        }
    }

    private boolean isInContactWithQuorum(Instant now) {
        Duration contactBound = DocumentWorld.OPTIONS.contactBound();
        Map<Integer, Instant> replies = mWorld.isSampled() ? mHeard : mContacts;
        long inContact =
                replies.entrySet().stream()
                        .filter(reply -> reply.getKey() != mIndex)
                        .filter(reply -> !now.isAfter(reply.getValue().plus(contactBound)))
                        .count();
        if (!mWorld.isSampled()) {
            return 2 * (inContact + 1) > mWorld.nodes().size();
        }
        long withSelf = inContact + (mWorld.isWitness(mIndex) ? 1 : 0);
        return 3 * withSelf >= 2 * DocumentWorld.OPTIONS.witnesses();
    }

    private void knowUpTo(@Nullable Instant time) {
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

    void tell(DocumentEvent event) {
        for (DocumentDecision decision : mDecider.decide(event, localNow())) {
            if (decision instanceof DocumentDecision.ApplyDocument put) {
                apply(put.document());
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
            } else if (decision instanceof DocumentDecision.SettleChange settle) {
                mWorld.settled(settle.change(), settle.result());
            } else {
                mWorld.execute(this, decision);
            }
        }
    }

    private void startWatch(DocumentName name) {
        if (mWorld.reaches(this)) {
            mWatches.add(name);
        } else {
            int run = mRun;
            DocumentEvent failure = new DocumentEvent.WatchFailed(name, "no connection");
            mWorld.after(Duration.ofSeconds(1), () -> receiveIn(run, failure));
        }
    }

    private void apply(VersionedDocument document) {
        VersionedDocument earlier = mApplied.put(document.name(), document);
        if (earlier != null && document.number() < earlier.number()) {
            throw new AssertionError(
                    "member " + mIndex + " went back from " + earlier + " to " + document);
        }
        if (!mWorld.service().wasWritten(document)) {
            throw new AssertionError("member " + mIndex + " applied unaccepted " + document);
        }
    }

    boolean claimsAuthority() {
        return mGrantedUntil != null && !localNow().isAfter(mGrantedUntil);
    }

    /**
     * Checks that a member that decides without a majority has every version accepted longer ago
     * than the bound.
     */
    private void checkUpToDate(Instant acceptedUpTo) {
        DocumentName name = DocumentWorld.SETTINGS;
        long accepted = mWorld.service().highestAcceptedBefore(name, acceptedUpTo);
        if (mApplied.get(name).number() < accepted) {
            throw new AssertionError(
                    "member "
                            + mIndex
                            + " decides by "
                            + mApplied.get(name)
                            + " though number "
                            + accepted
                            + " was accepted up to "
                            + acceptedUpTo);
        }
    }

    /** Checks that a claim of authority has a reason in what really reached this member. */
    void checkClaim() {
        if (!claimsAuthority()) {
            return;
        }
        if (!mApplied.containsKey(DocumentWorld.SETTINGS)) {
            throw new AssertionError("member " + mIndex + " decides without settings");
        }
        Instant now = mWorld.now();
        if (isInContactWithQuorum(now)) {
            return;
        }
        Duration bound = DocumentWorld.OPTIONS.freshnessBound();
        if (mKnownAt == null || now.isAfter(mKnownAt.plus(bound))) {
            throw new AssertionError(
                    "member "
                            + mIndex
                            + " claims authority; it knows the service up to "
                            + mKnownAt
                            + " and had replies of "
                            + (mWorld.isSampled() ? mHeard : mContacts)
                            + " at "
                            + now);
        }
        checkUpToDate(now.minus(bound));
    }
}
