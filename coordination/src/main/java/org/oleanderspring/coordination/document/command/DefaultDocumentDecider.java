package org.oleanderspring.coordination.document.command;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.TreeMap;
import java.util.random.RandomGenerator;
import org.jspecify.annotations.Nullable;
import org.oleanderspring.coordination.document.ChangeId;
import org.oleanderspring.coordination.document.ChangeResult;
import org.oleanderspring.coordination.document.DocumentDigest;
import org.oleanderspring.coordination.document.DocumentName;
import org.oleanderspring.coordination.document.DocumentOptions;
import org.oleanderspring.coordination.document.DocumentVersion;
import org.oleanderspring.coordination.document.DocumentWriteOutcome;
import org.oleanderspring.coordination.document.VersionedDocument;
import org.oleanderspring.coordination.document.WitnessAge;
import org.oleanderspring.coordination.document.query.DocumentQueries;
import org.oleanderspring.coordination.document.query.WatcherSelection;
import org.oleanderspring.coordination.document.query.WitnessSelection;
import org.oleanderspring.coordination.membership.Address;
import org.oleanderspring.coordination.membership.Member;
import org.oleanderspring.coordination.membership.query.RandomChoice;
import org.oleanderspring.coordination.store.Revision;

/**
 * Keeps documents up to date and decides whether this member may decide by them.
 *
 * <p><b>A document never goes back.</b> Every version enters through {@link #take}, whether it
 * comes from the service, a push or a fetch, and {@code take} ignores a version that is not newer
 * than the one in force by {@link VersionedDocument#isNewerThan}. So the number in force at one
 * member never decreases, in whatever order messages arrive and whatever the service contains after
 * a recovery. Only versions that a compare-and-swap wrote are ever taken: a change of this member
 * is taken after its write succeeded or after it was read back, and members send only what they
 * have in force.
 *
 * <p><b>All members end with the same version.</b> {@code isNewerThan} is a total order on the
 * versions of a document, so there is one newest version. A member that receives it pushes it on,
 * every digest names it, and a member that sees a newer version in a digest fetches it. Older
 * content of the service is replaced by compare-and-swap on the revision at which it was read, so a
 * write-back cannot replace a version that arrived there in the meantime.
 *
 * <p><b>Freshness.</b> The invariant is: if {@code freshAt} is {@code f}, every version of the
 * governing document that was accepted before {@code f} is not newer than the one in force here. A
 * reply to a read that was sent at {@code f} establishes it, since the content read was the
 * service's at some time after {@code f}. A reply of another member to a request that was sent at
 * {@code s}, with age {@code a}, was made after {@code s}; the invariant held there for {@code s -
 * a}. It is adopted for {@code s - a} only if that member's version is not newer than the one in
 * force here. Times are those of this member's clock, and only replies to own requests count, so
 * neither a message that waited in a queue nor a pause of this member makes old knowledge look
 * fresh.
 *
 * <p><b>The majority rule.</b> A member that is not fresh may continue while a quorum of witnesses
 * replied, to it or to others that told it, within the bound on contact; in a small group all
 * members are witnesses (see {@link WitnessSelection}). A change is accepted only by a member that
 * reaches the service and, within the same bound, a quorum of witnesses. What others tell of a
 * witness is taken only from a member whose version is not newer than the one in force here, so it
 * comes with all that the witness had in force at that time. Two quorums share a witness. While
 * both stay in contact with it, the shared member learns of the change within one bound on contact
 * and the member that continues within another. The bound on contact is half the bound on
 * freshness, so the sum is the bound on freshness. If the accepting member loses contact after the
 * write, the change reaches the others through the service's watchers only.
 *
 * <p><b>Use of the service.</b> Only the watchers of a failure domain read regularly. The others
 * read when they have no document or their freshness is about to end, at a random time and rarely;
 * see {@link ServiceLink}.
 */
public final class DefaultDocumentDecider implements DocumentDecider, DocumentQueries {
    private static final Duration GOVERNING_READ_PERIOD = Duration.ofSeconds(3);
    private static final Duration OTHER_READ_PERIOD = Duration.ofSeconds(60);
    private static final Duration AUTHORITY_STEP = Duration.ofMillis(500);

    private static final String TOO_FEW_MEMBERS = "too few members reply";

    private final DocumentOptions mOptions;
    private final Member mSelf;
    private final RandomGenerator mRandom;
    private final WatcherSelection mWatchers;
    private final Freshness mFreshness;
    private final PeerFetches mFetches;
    private final ChangeQueue mChanges = new ChangeQueue();
    private final DigestPublisher mDigests;
    private final HeldDocuments mHeld = new HeldDocuments();
    private final Map<DocumentName, ServiceLink> mLinks = new TreeMap<>();
    private List<Member> mLive = List.of();
    private List<Address> mOthers = List.of();
    private @Nullable Instant mGrantedUntil;
    private long mLastReadId;

    /**
     * Creates a decider that tracks the governing document.
     *
     * @param self this member
     * @param options the numbers to work by
     * @param random chooses members and delays
     */
    public DefaultDocumentDecider(Member self, DocumentOptions options, RandomGenerator random) {
        mSelf = Objects.requireNonNull(self, "self");
        mOptions = Objects.requireNonNull(options, "options");
        mRandom = Objects.requireNonNull(random, "random");
        mWatchers = new WatcherSelection(options.watchersPerDomain());
        mFreshness = new Freshness(self.peerAddress(), options);
        mFetches = new PeerFetches(random);
        mDigests = new DigestPublisher(options);
        mLinks.put(options.governing(), new ServiceLink(random));
    }

    @Override
    public List<DocumentDecision> decide(DocumentEvent event, Instant now) {
        List<DocumentDecision> decisions = new ArrayList<>();
        withdrawEndedAuthority(now, decisions);
        if (event instanceof DocumentEvent.TimerFired) {
            onTimer(now, decisions);
        } else if (event instanceof DocumentEvent.MembersChanged changed) {
            onMembersChanged(changed, now, decisions);
        } else if (event instanceof DocumentEvent.DocumentTracked tracked) {
            onTracked(tracked.name(), now, decisions);
        } else if (event instanceof DocumentEvent.ChangeProposed proposed) {
            onChangeProposed(proposed, now, decisions);
        } else if (event instanceof DocumentEvent.ChangeWriteFinished written) {
            onChangeWritten(written, now, decisions);
        } else {
            onServiceEvent(event, now, decisions);
            onPeerEvent(event, now, decisions);
        }
        sendDueReads(now, decisions);
        grantAuthority(now, decisions);
        mDigests.publishChanges(mHeld, mFreshness).ifPresent(decisions::add);
        return List.copyOf(decisions);
    }

    @Override
    public Optional<VersionedDocument> currentVersion(DocumentName name) {
        return Optional.ofNullable(mHeld.find(name));
    }

    @Override
    public List<VersionedDocument> currentVersions() {
        return mHeld.all();
    }

    @Override
    public @Nullable Instant authorityEnd(Instant now) {
        if (mHeld.find(mOptions.governing()) == null) {
            return null;
        }
        return mFreshness.authorityEnd(now);
    }

    private void onServiceEvent(
            DocumentEvent event, Instant now, List<DocumentDecision> decisions) {
        if (event instanceof DocumentEvent.ServiceValueRead read) {
            onRead(read, now, decisions);
        } else if (event instanceof DocumentEvent.ServiceUnavailable unavailable) {
            onUnavailable(unavailable, now, decisions);
        } else if (event instanceof DocumentEvent.ServiceValueWatched watched) {
            compareWithService(
                    watched.name(), watched.document(), watched.revision(), now, decisions);
        } else if (event instanceof DocumentEvent.WatchFailed failed) {
            Optional.ofNullable(mLinks.get(failed.name())).ifPresent(link -> link.watchFailed(now));
        } else if (event instanceof DocumentEvent.WriteBackFinished finished) {
            onWriteBackFinished(finished, now);
        }
    }

    private void onPeerEvent(DocumentEvent event, Instant now, List<DocumentDecision> decisions) {
        if (event instanceof DocumentEvent.PushReceived push) {
            onPush(push, decisions);
        } else if (event instanceof DocumentEvent.DigestReceived received) {
            fetchNewer(received.peer(), received.digest(), now, decisions);
        } else if (event instanceof DocumentEvent.PeerReplied contacted) {
            onContact(
                    contacted.peer(),
                    contacted.requestSentAt(),
                    contacted.digest(),
                    now,
                    decisions);
        } else if (event instanceof DocumentEvent.FetchRequested request) {
            decisions.add(
                    new DocumentDecision.ReplyToFetch(
                            request.peer(),
                            request.requestId(),
                            mHeld.find(request.name()),
                            digest(now)));
        } else if (event instanceof DocumentEvent.FetchReplied reply) {
            onFetchReplied(reply, now, decisions);
        }
    }

    private void onTimer(Instant now, List<DocumentDecision> decisions) {
        mDigests.rotate(mHeld);
        mLinks.forEach(
                (name, link) -> {
                    if (link.takeWatchStart(now)) {
                        decisions.add(new DocumentDecision.StartWatch(name));
                    }
                });
        decisions.addAll(mChanges.expire(now));
        keepFresh(now, decisions);
    }

    /** Asks members, and at last the service, before the freshness ends. */
    private void keepFresh(Instant now, List<DocumentDecision> decisions) {
        Duration quarter = mOptions.freshnessBound().dividedBy(4);
        Instant freshAt = mFreshness.freshAt();
        Duration age = freshAt == null ? null : Duration.between(freshAt, now);
        if (age != null && age.compareTo(quarter.multipliedBy(2)) < 0) {
            return;
        }
        mFetches.askAnyone(mOthers, mOptions.governing(), now).ifPresent(decisions::add);
        ServiceLink link = link(mOptions.governing());
        boolean nearEnd = age == null || age.compareTo(quarter.multipliedBy(3)) >= 0;
        if (nearEnd && !link.isWatcher()) {
            link.readAsLastResort(now, quarter);
        }
    }

    private void onMembersChanged(
            DocumentEvent.MembersChanged changed, Instant now, List<DocumentDecision> decisions) {
        mLive = changed.live();
        mOthers =
                mLive.stream()
                        .map(Member::peerAddress)
                        .filter(address -> !address.equals(mSelf.peerAddress()))
                        .toList();
        mFreshness.count(changed.quorumAddresses());
        mLinks.forEach((name, link) -> selectWatcher(name, link, now, decisions));
    }

    private void selectWatcher(
            DocumentName name, ServiceLink link, Instant now, List<DocumentDecision> decisions) {
        if (link.setWatcher(mWatchers.isWatcher(name, mSelf, mLive), now)) {
            decisions.add(new DocumentDecision.StopWatch(name));
        }
    }

    private void onTracked(DocumentName name, Instant now, List<DocumentDecision> decisions) {
        if (mLinks.containsKey(name)) {
            return;
        }
        ServiceLink link = new ServiceLink(mRandom);
        mLinks.put(name, link);
        if (!mLive.isEmpty()) {
            selectWatcher(name, link, now, decisions);
        }
        mFetches.askAnyone(mOthers, name, now).ifPresent(decisions::add);
    }

    private void onRead(
            DocumentEvent.ServiceValueRead read, Instant now, List<DocumentDecision> decisions) {
        ServiceLink link = link(read.name());
        Instant sentAt = link.endRead(read.readId());
        if (sentAt == null) {
            return;
        }
        link.replied();
        boolean governing = read.name().equals(mOptions.governing());
        link.scheduleRegularRead(now, governing ? GOVERNING_READ_PERIOD : OTHER_READ_PERIOD);
        compareWithService(read.name(), read.document(), read.revision(), now, decisions);
        if (governing) {
            mFreshness.reachedService(sentAt);
        }
        VersionedDocument inForce = mHeld.find(read.name());
        decisions.addAll(mChanges.proceed(read.name(), inForce, read.document(), read.revision()));
        readForNextChange(read.name(), now);
    }

    private void onUnavailable(
            DocumentEvent.ServiceUnavailable unavailable,
            Instant now,
            List<DocumentDecision> decisions) {
        ServiceLink link = link(unavailable.name());
        if (link.endRead(unavailable.readId()) == null) {
            return;
        }
        link.readFailed(now);
        decisions.addAll(mChanges.refuse(unavailable.name(), unavailable.reason()));
        readForNextChange(unavailable.name(), now);
    }

    /** Takes newer content of the service, or replaces older content. */
    private void compareWithService(
            DocumentName name,
            @Nullable VersionedDocument found,
            Revision revision,
            Instant now,
            List<DocumentDecision> decisions) {
        if (found != null) {
            take(found, null, decisions);
        }
        VersionedDocument inForce = mHeld.find(name);
        if (inForce == null || inForce.equals(found)) {
            return;
        }
        if (link(name).takeWriteBack(now)) {
            decisions.add(new DocumentDecision.WriteBack(inForce, revision));
        }
    }

    private void onWriteBackFinished(DocumentEvent.WriteBackFinished finished, Instant now) {
        boolean written = finished.outcome() == DocumentWriteOutcome.WRITTEN;
        link(finished.name()).writeBackEnded(written, now);
        mChanges.writeBackEnded(finished.name());
        readForNextChange(finished.name(), now);
    }

    private void onPush(DocumentEvent.PushReceived push, List<DocumentDecision> decisions) {
        VersionedDocument document = push.document();
        if (!mLinks.containsKey(document.name())) {
            return;
        }
        take(document, push.peer(), decisions);
        VersionedDocument inForce = mHeld.find(document.name());
        if (inForce != null && inForce.isNewerThan(document)) {
            decisions.add(new DocumentDecision.PushDocument(List.of(push.peer()), inForce));
        }
    }

    private void onContact(
            Address peer,
            Instant requestSentAt,
            DocumentDigest digest,
            Instant now,
            List<DocumentDecision> decisions) {
        mFreshness.contacted(peer, requestSentAt);
        fetchNewer(peer, digest, now, decisions);
        Duration age = digest.serviceAge();
        boolean knowsLess = digest.find(mOptions.governing()).map(mHeld::lacks).orElse(false);
        if (knowsLess) {
            return;
        }
        if (age != null) {
            mFreshness.reachedThroughPeer(requestSentAt.minus(age));
        }
        for (WitnessAge witness : digest.witnesses()) {
            mFreshness.contactedThroughPeer(witness.witness(), requestSentAt.minus(witness.age()));
        }
    }

    private void onFetchReplied(
            DocumentEvent.FetchReplied reply, Instant now, List<DocumentDecision> decisions) {
        VersionedDocument document = reply.document();
        if (document != null && mLinks.containsKey(document.name())) {
            take(document, reply.peer(), decisions);
        }
        Instant sentAt = mFetches.end(reply.requestId(), reply.peer());
        if (sentAt != null) {
            onContact(reply.peer(), sentAt, reply.digest(), now, decisions);
        }
    }

    private void fetchNewer(
            Address peer, DocumentDigest digest, Instant now, List<DocumentDecision> decisions) {
        for (DocumentVersion version : digest.versions()) {
            if (mLinks.containsKey(version.name()) && mHeld.lacks(version)) {
                mFetches.ask(peer, version.name(), now).ifPresent(decisions::add);
            }
        }
    }

    /** Puts a version in force and pushes it on, unless the one in force is as new. */
    private void take(
            VersionedDocument document,
            @Nullable Address sender,
            List<DocumentDecision> decisions) {
        if (!mHeld.take(document)) {
            return;
        }
        decisions.add(new DocumentDecision.ApplyDocument(document));
        List<Address> candidates =
                mOthers.stream().filter(address -> !address.equals(sender)).toList();
        List<Address> receivers = RandomChoice.of(candidates, mOptions.fanOut(), mRandom);
        if (!receivers.isEmpty()) {
            decisions.add(new DocumentDecision.PushDocument(receivers, document));
        }
    }

    private void onChangeProposed(
            DocumentEvent.ChangeProposed proposed, Instant now, List<DocumentDecision> decisions) {
        VersionedDocument document = proposed.document();
        onTracked(document.name(), now, decisions);
        ChangeResult refusal = refusal(document, now);
        if (refusal != null) {
            decisions.add(new DocumentDecision.SettleChange(proposed.change(), refusal));
            return;
        }
        if (mChanges.add(proposed.change(), document, now)) {
            link(document.name()).readAt(now);
        }
    }

    /**
     * Whether the service replies is not asked here: a member that does not watch may not have read
     * for long, and each change reads the service before it is written.
     */
    private @Nullable ChangeResult refusal(VersionedDocument document, Instant now) {
        if (!mFreshness.reachesMajority(now)) {
            return new ChangeResult.Unavailable(TOO_FEW_MEMBERS);
        }
        VersionedDocument inForce = mHeld.find(document.name());
        if (inForce == null) {
            return document.number() == 1 ? null : new ChangeResult.NotFirstVersion();
        }
        if (document.number() != inForce.number() + 1) {
            return new ChangeResult.Superseded(inForce);
        }
        return null;
    }

    private void onChangeWritten(
            DocumentEvent.ChangeWriteFinished written,
            Instant now,
            List<DocumentDecision> decisions) {
        ChangeId change = written.change();
        boolean maybeWritten = written.outcome() == DocumentWriteOutcome.UNKNOWN;
        VersionedDocument document = mChanges.writeEnded(change, maybeWritten);
        if (document == null) {
            return;
        }
        DocumentName name = document.name();
        if (written.outcome() == DocumentWriteOutcome.WRITTEN) {
            take(document, null, decisions);
            VersionedDocument inForce = mHeld.find(name);
            decisions.addAll(mChanges.written(change, inForce == null ? document : inForce));
        } else if (written.outcome() == DocumentWriteOutcome.UNAVAILABLE) {
            decisions.addAll(mChanges.refuse(name, "the write was refused"));
        }
        readForNextChange(name, now);
    }

    private void readForNextChange(DocumentName name, Instant now) {
        if (mChanges.needsRead(name)) {
            link(name).readAt(now);
        }
    }

    private void sendDueReads(Instant now, List<DocumentDecision> decisions) {
        mLinks.forEach(
                (name, link) -> {
                    if (link.takeRead(mLastReadId + 1, now)) {
                        mLastReadId++;
                        decisions.add(new DocumentDecision.ReadService(mLastReadId, name));
                    }
                });
    }

    private void withdrawEndedAuthority(Instant now, List<DocumentDecision> decisions) {
        if (mGrantedUntil != null && authorityEnd(now) == null) {
            mGrantedUntil = null;
            decisions.add(new DocumentDecision.WithdrawAuthority());
        }
    }

    private void grantAuthority(Instant now, List<DocumentDecision> decisions) {
        Instant end = authorityEnd(now);
        if (end == null) {
            withdrawEndedAuthority(now, decisions);
            return;
        }
        if (mGrantedUntil == null || end.isAfter(mGrantedUntil.plus(AUTHORITY_STEP))) {
            mGrantedUntil = end;
            decisions.add(new DocumentDecision.GrantAuthority(end));
        }
    }

    private DocumentDigest digest(Instant now) {
        return mDigests.snapshot(mHeld, mFreshness).at(now);
    }

    private ServiceLink link(DocumentName name) {
        return mLinks.computeIfAbsent(name, added -> new ServiceLink(mRandom));
    }
}
