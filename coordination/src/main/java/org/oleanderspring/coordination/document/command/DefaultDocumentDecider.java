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
import org.oleanderspring.coordination.membership.Address;
import org.oleanderspring.coordination.membership.Member;
import org.oleanderspring.coordination.membership.query.RandomChoice;
import org.oleanderspring.coordination.store.Revision;

/**
 * Keeps the documents of one member up to date and determines whether the member may make decisions
 * based on them, which is called its authority.
 *
 * <p><b>Versions never decrease.</b> Every version is applied by {@link #apply}, whether it comes
 * from the key-value service, a push or a fetch, and {@code apply} ignores a version that is not
 * newer than the current one by {@link VersionedDocument#isNewerThan}. The current version number
 * at one member therefore never decreases, in whatever order messages arrive and whatever the
 * service contains after a recovery. Only versions that a compare-and-swap wrote are ever applied:
 * a change of this member is applied after its write succeeded or after it was read back, and
 * members send only their current versions.
 *
 * <p><b>Convergence.</b> {@code isNewerThan} is a total order on the versions of a document, so
 * there is one newest version. A member that receives it pushes it to other members, digests
 * contain its number, and a member that sees a newer version in a digest fetches it. An older
 * version at the service is replaced by compare-and-swap on the revision at which it was read, so a
 * write-back cannot replace a version that was written there in the meantime.
 *
 * <p><b>Freshness.</b> The invariant is: if {@code freshAt} is {@code f}, no version of the
 * governing document that was accepted before {@code f} is newer than the current version of this
 * member. A reply to a read that was sent at {@code f} establishes the invariant, since the service
 * contained the value read at some time after {@code f}. A reply of another member to a request
 * that was sent at {@code s}, with age {@code a}, was created after {@code s}; at that member the
 * invariant held for {@code s - a}. This member adopts it for {@code s - a} only if that member's
 * version is not newer than its own. All times are of this member's clock, and only replies to its
 * own requests count, so neither a message delayed in a queue nor a pause of this member makes
 * outdated information appear fresh.
 *
 * <p><b>Majority rule.</b> A member that is not fresh keeps its authority while a quorum of
 * witnesses has replied within the contact bound, either to the member itself or to other members
 * that relayed the time of the reply; in a small group all members are witnesses (see {@link
 * WitnessSelection}). A change is accepted only by a member that reaches the service and, within
 * the same bound, a quorum of witnesses. Relayed reply times are accepted only from a member whose
 * version is not newer than the current version of this member, so this member then has every
 * version that the witness had at that time. Any two quorums share a witness. While both members
 * stay in contact with it, the shared witness learns of the change within one contact bound, and
 * the member that keeps its authority learns of it within another. The contact bound is half the
 * freshness bound, so the sum is the freshness bound. If the accepting member loses contact after
 * the write, the change reaches the other members only through those that watch the service.
 *
 * <p><b>Load on the service.</b> Only the watchers of a failure domain read regularly. The other
 * members read only if they have no document or their freshness is about to end, at a random time
 * and with a limited rate; see {@link ServiceSchedule}.
 */
public final class DefaultDocumentDecider implements DocumentDecider, DocumentQueries {
    /** The average time between two reads of the governing document by a watcher. */
    private static final Duration GOVERNING_READ_PERIOD = Duration.ofSeconds(3);

    /** The average time between two reads of any other document by a watcher. */
    private static final Duration OTHER_READ_PERIOD = Duration.ofSeconds(60);

    /** A new end of the authority is reported once it is later than the last one by this much. */
    private static final Duration AUTHORITY_STEP = Duration.ofMillis(500);

    private static final String NO_QUORUM = "too few members reply";

    private final DocumentOptions mOptions;
    private final Member mSelf;
    private final RandomGenerator mRandom;
    private final WatcherSelection mWatchers;
    private final Freshness mFreshness;
    private final PeerFetches mFetches;
    private final ChangeQueue mChanges = new ChangeQueue();
    private final DigestPublisher mDigests;
    private final CurrentDocuments mCurrent = new CurrentDocuments();
    private final Map<DocumentName, ServiceSchedule> mSchedules = new TreeMap<>();
    private List<Member> mLive = List.of();
    private List<Address> mPeerAddresses = List.of();
    private @Nullable Instant mGrantedUntil;
    private long mLastReadId;

    /**
     * Creates a decider that tracks the governing document.
     *
     * @param self this member
     * @param options the replication parameters
     * @param random the source of random choices of members and delays
     */
    public DefaultDocumentDecider(Member self, DocumentOptions options, RandomGenerator random) {
        mSelf = Objects.requireNonNull(self, "self");
        mOptions = Objects.requireNonNull(options, "options");
        mRandom = Objects.requireNonNull(random, "random");
        mWatchers = new WatcherSelection(options.watchersPerDomain());
        mFreshness = new Freshness(self.peerAddress(), options);
        mFetches = new PeerFetches(random);
        mDigests = new DigestPublisher(options);
        mSchedules.put(options.governing(), new ServiceSchedule(random));
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
        mDigests.publishChanges(mCurrent, mFreshness).ifPresent(decisions::add);
        return List.copyOf(decisions);
    }

    @Override
    public Optional<VersionedDocument> currentVersion(DocumentName name) {
        return Optional.ofNullable(mCurrent.find(name));
    }

    @Override
    public List<VersionedDocument> currentVersions() {
        return mCurrent.all();
    }

    @Override
    public @Nullable Instant authorityEnd(Instant now) {
        if (mCurrent.find(mOptions.governing()) == null) {
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
            Optional.ofNullable(mSchedules.get(failed.name()))
                    .ifPresent(schedule -> schedule.watchFailed(now));
        } else if (event instanceof DocumentEvent.WriteBackFinished finished) {
            onWriteBackFinished(finished, now);
        }
    }

    private void onPeerEvent(DocumentEvent event, Instant now, List<DocumentDecision> decisions) {
        if (event instanceof DocumentEvent.PushReceived push) {
            onPush(push, decisions);
        } else if (event instanceof DocumentEvent.DigestReceived received) {
            fetchNewer(received.peer(), received.digest(), now, decisions);
        } else if (event instanceof DocumentEvent.PeerReplied replied) {
            onReply(replied.peer(), replied.requestSentAt(), replied.digest(), now, decisions);
        } else if (event instanceof DocumentEvent.FetchRequested request) {
            decisions.add(
                    new DocumentDecision.ReplyToFetch(
                            request.peer(),
                            request.requestId(),
                            mCurrent.find(request.name()),
                            digest(now)));
        } else if (event instanceof DocumentEvent.FetchReplied reply) {
            onFetchReplied(reply, now, decisions);
        }
    }

    private void onTimer(Instant now, List<DocumentDecision> decisions) {
        mDigests.rotate(mCurrent);
        mSchedules.forEach(
                (name, schedule) -> {
                    if (schedule.takeWatchStart(now)) {
                        decisions.add(new DocumentDecision.StartWatch(name));
                    }
                });
        decisions.addAll(mChanges.expire(now));
        refreshBeforeExpiry(now, decisions);
    }

    /**
     * Fetches the governing document from other members once half of the freshness bound has
     * passed, and reads the key-value service as a fallback after three quarters.
     */
    private void refreshBeforeExpiry(Instant now, List<DocumentDecision> decisions) {
        Duration quarter = mOptions.freshnessBound().dividedBy(4);
        Instant freshAt = mFreshness.freshAt();
        Duration age = freshAt == null ? null : Duration.between(freshAt, now);
        if (age != null && age.compareTo(quarter.multipliedBy(2)) < 0) {
            return;
        }
        mFetches.fetchFromRandomPeer(mPeerAddresses, mOptions.governing(), now)
                .ifPresent(decisions::add);
        ServiceSchedule schedule = schedule(mOptions.governing());
        boolean nearEnd = age == null || age.compareTo(quarter.multipliedBy(3)) >= 0;
        if (nearEnd && !schedule.isWatcher()) {
            schedule.scheduleFallbackRead(now, quarter);
        }
    }

    private void onMembersChanged(
            DocumentEvent.MembersChanged changed, Instant now, List<DocumentDecision> decisions) {
        mLive = changed.live();
        mPeerAddresses =
                mLive.stream()
                        .map(Member::peerAddress)
                        .filter(address -> !address.equals(mSelf.peerAddress()))
                        .toList();
        mFreshness.setQuorumAddresses(changed.quorumAddresses());
        mSchedules.forEach((name, schedule) -> selectWatcher(name, schedule, now, decisions));
    }

    private void selectWatcher(
            DocumentName name,
            ServiceSchedule schedule,
            Instant now,
            List<DocumentDecision> decisions) {
        if (schedule.setWatcher(mWatchers.isWatcher(name, mSelf, mLive), now)) {
            decisions.add(new DocumentDecision.StopWatch(name));
        }
    }

    private void onTracked(DocumentName name, Instant now, List<DocumentDecision> decisions) {
        if (mSchedules.containsKey(name)) {
            return;
        }
        ServiceSchedule schedule = new ServiceSchedule(mRandom);
        mSchedules.put(name, schedule);
        if (!mLive.isEmpty()) {
            selectWatcher(name, schedule, now, decisions);
        }
        mFetches.fetchFromRandomPeer(mPeerAddresses, name, now).ifPresent(decisions::add);
    }

    private void onRead(
            DocumentEvent.ServiceValueRead read, Instant now, List<DocumentDecision> decisions) {
        ServiceSchedule schedule = schedule(read.name());
        Instant sentAt = schedule.endRead(read.readId());
        if (sentAt == null) {
            return;
        }
        schedule.serviceReplied();
        boolean governing = read.name().equals(mOptions.governing());
        schedule.scheduleRegularRead(now, governing ? GOVERNING_READ_PERIOD : OTHER_READ_PERIOD);
        compareWithService(read.name(), read.document(), read.revision(), now, decisions);
        if (governing) {
            mFreshness.recordServiceReply(sentAt);
        }
        VersionedDocument current = mCurrent.find(read.name());
        decisions.addAll(mChanges.proceed(read.name(), current, read.document(), read.revision()));
        readForNextChange(read.name(), now);
    }

    private void onUnavailable(
            DocumentEvent.ServiceUnavailable unavailable,
            Instant now,
            List<DocumentDecision> decisions) {
        ServiceSchedule schedule = schedule(unavailable.name());
        if (schedule.endRead(unavailable.readId()) == null) {
            return;
        }
        schedule.readFailed(now);
        decisions.addAll(mChanges.fail(unavailable.name(), unavailable.reason()));
        readForNextChange(unavailable.name(), now);
    }

    /**
     * Applies the value of the key-value service if it is newer, or writes the current version back
     * if it is older.
     */
    private void compareWithService(
            DocumentName name,
            @Nullable VersionedDocument found,
            Revision revision,
            Instant now,
            List<DocumentDecision> decisions) {
        if (found != null) {
            apply(found, null, decisions);
        }
        VersionedDocument current = mCurrent.find(name);
        if (current == null || current.equals(found)) {
            return;
        }
        if (schedule(name).takeWriteBack(now)) {
            decisions.add(new DocumentDecision.WriteBack(current, revision));
        }
    }

    private void onWriteBackFinished(DocumentEvent.WriteBackFinished finished, Instant now) {
        boolean written = finished.outcome() == DocumentWriteOutcome.WRITTEN;
        schedule(finished.name()).writeBackEnded(written, now);
        mChanges.writeBackEnded(finished.name());
        readForNextChange(finished.name(), now);
    }

    private void onPush(DocumentEvent.PushReceived push, List<DocumentDecision> decisions) {
        VersionedDocument document = push.document();
        if (!mSchedules.containsKey(document.name())) {
            return;
        }
        apply(document, push.peer(), decisions);
        VersionedDocument current = mCurrent.find(document.name());
        if (current != null && current.isNewerThan(document)) {
            decisions.add(new DocumentDecision.PushDocument(List.of(push.peer()), current));
        }
    }

    private void onReply(
            Address peer,
            Instant requestSentAt,
            DocumentDigest digest,
            Instant now,
            List<DocumentDecision> decisions) {
        mFreshness.recordReply(peer, requestSentAt);
        fetchNewer(peer, digest, now, decisions);
        Duration age = digest.serviceAge();
        boolean isBehind =
                digest.find(mOptions.governing()).map(mCurrent::isOlderThan).orElse(false);
        if (isBehind) {
            return;
        }
        if (age != null) {
            mFreshness.recordFreshAt(requestSentAt.minus(age));
        }
        for (WitnessAge witness : digest.witnesses()) {
            mFreshness.recordRelayedReply(witness.witness(), requestSentAt.minus(witness.age()));
        }
    }

    private void onFetchReplied(
            DocumentEvent.FetchReplied reply, Instant now, List<DocumentDecision> decisions) {
        VersionedDocument document = reply.document();
        if (document != null && mSchedules.containsKey(document.name())) {
            apply(document, reply.peer(), decisions);
        }
        Instant sentAt = mFetches.end(reply.requestId(), reply.peer());
        if (sentAt != null) {
            onReply(reply.peer(), sentAt, reply.digest(), now, decisions);
        }
    }

    private void fetchNewer(
            Address peer, DocumentDigest digest, Instant now, List<DocumentDecision> decisions) {
        for (DocumentVersion version : digest.versions()) {
            if (mSchedules.containsKey(version.name()) && mCurrent.isOlderThan(version)) {
                mFetches.fetch(peer, version.name(), now).ifPresent(decisions::add);
            }
        }
    }

    /**
     * Makes a version the current one and pushes it to other members, if it is newer than the
     * current one.
     */
    private void apply(
            VersionedDocument document,
            @Nullable Address sender,
            List<DocumentDecision> decisions) {
        if (!mCurrent.replaceIfNewer(document)) {
            return;
        }
        decisions.add(new DocumentDecision.ApplyDocument(document));
        List<Address> candidates =
                mPeerAddresses.stream().filter(address -> !address.equals(sender)).toList();
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
            decisions.add(new DocumentDecision.ReportChangeResult(proposed.change(), refusal));
            return;
        }
        if (mChanges.add(proposed.change(), document, now)) {
            schedule(document.name()).scheduleRead(now);
        }
    }

    /**
     * Returns why a change is rejected at once, or null if it is not. Does not check whether the
     * key-value service responds: a member that is not a watcher may not have read it for a long
     * time, and each change reads the service before it is written.
     */
    private @Nullable ChangeResult refusal(VersionedDocument document, Instant now) {
        if (!mFreshness.reachesQuorum(now)) {
            return new ChangeResult.Unavailable(NO_QUORUM);
        }
        VersionedDocument current = mCurrent.find(document.name());
        if (current == null) {
            return document.number() == 1 ? null : new ChangeResult.DocumentMissing();
        }
        if (document.number() != current.number() + 1) {
            return new ChangeResult.Superseded(current);
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
            apply(document, null, decisions);
            VersionedDocument current = mCurrent.find(name);
            decisions.addAll(mChanges.written(change, current == null ? document : current));
        } else if (written.outcome() == DocumentWriteOutcome.UNAVAILABLE) {
            decisions.addAll(mChanges.fail(name, "the write was refused"));
        }
        readForNextChange(name, now);
    }

    private void readForNextChange(DocumentName name, Instant now) {
        if (mChanges.needsRead(name)) {
            schedule(name).scheduleRead(now);
        }
    }

    private void sendDueReads(Instant now, List<DocumentDecision> decisions) {
        mSchedules.forEach(
                (name, schedule) -> {
                    if (schedule.takeRead(mLastReadId + 1, now)) {
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
        return mDigests.snapshot(mCurrent, mFreshness).at(now);
    }

    private ServiceSchedule schedule(DocumentName name) {
        return mSchedules.computeIfAbsent(name, added -> new ServiceSchedule(mRandom));
    }
}
