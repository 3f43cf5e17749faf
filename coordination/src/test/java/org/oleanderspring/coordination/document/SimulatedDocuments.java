package org.oleanderspring.coordination.document;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.BiConsumer;
import java.util.function.Function;
import org.jspecify.annotations.Nullable;
import org.oleanderspring.coordination.document.command.DocumentDecision;
import org.oleanderspring.coordination.document.command.DocumentEvent;
import org.oleanderspring.coordination.document.query.WitnessSelection;
import org.oleanderspring.coordination.membership.Address;
import org.oleanderspring.coordination.membership.Member;
import org.oleanderspring.coordination.store.Revision;

/**
 * Simulates several members with their real deciders, a lossy network and a key-value service with
 * faults, in virtual time.
 *
 * <p>Every message carries the true time up to which its sender can know the versions at the
 * service, so the checks in {@link DocumentNode} do not depend on the clocks of the deciders.
 */
final class SimulatedDocuments {
    static final DocumentName SETTINGS = new DocumentName("settings");
    static final DocumentName PLAN = new DocumentName("cells/one/plan");
    static final DocumentOptions OPTIONS = DocumentOptions.defaults(SETTINGS);

    private static final WitnessSelection WITNESS_SELECTION =
            new WitnessSelection(OPTIONS.witnesses());
    private static final Duration TICK = Duration.ofMillis(250);
    private static final Duration PROBE_PERIOD = Duration.ofMillis(500);
    private static final Duration STORE_TIMEOUT = Duration.ofSeconds(2);
    private static final int SLOWEST_MILLIS = 2_500;
    private static final int FASTEST_MILLIS = 20;

    private final FakeDocumentService mService = new FakeDocumentService();
    private final List<DocumentNode> mNodes = new ArrayList<>();
    private final PriorityQueue<Scheduled> mSchedule =
            new PriorityQueue<>(
                    Comparator.comparing(Scheduled::at).thenComparing(Scheduled::order));
    private final Set<Integer> mWitnesses = new HashSet<>();
    private final Set<Integer> mCutFromService = new HashSet<>();
    private final Set<Set<Integer>> mCutPairs = new HashSet<>();
    private final Map<ChangeId, VersionedDocument> mProposed = new HashMap<>();
    private final Map<ChangeId, ChangeResult> mSettled = new HashMap<>();
    private SplittableRandom mRandom;
    private Instant mNow = Instant.EPOCH;
    private long mOrder;
    private int mFaultPercent = 15;
    private int mReadsInBusiestSecond;

    SimulatedDocuments(int nodes, int domains, long seed) {
        mRandom = new SplittableRandom(seed);
        for (int index = 0; index < nodes; index++) {
            mNodes.add(new DocumentNode(index, "domain-" + index % domains, this));
        }
        Set<Address> addresses = addresses();
        Set<Address> witnesses = WITNESS_SELECTION.witnesses(addresses);
        mNodes.stream()
                .filter(node -> witnesses.contains(node.member().peerAddress()))
                .forEach(node -> mWitnesses.add(node.index()));
        for (DocumentNode node : mNodes) {
            start(node);
            every(TICK, node, () -> node.handle(new DocumentEvent.TimerFired()));
            every(PROBE_PERIOD, node, () -> probe(node));
        }
    }

    private Set<Address> addresses() {
        Set<Address> addresses = new HashSet<>();
        mNodes.forEach(node -> addresses.add(node.member().peerAddress()));
        return addresses;
    }

    /** Returns whether the witnesses are only a sample of the members. */
    boolean isSampled() {
        return WITNESS_SELECTION.isSampled(mNodes.size());
    }

    boolean isWitness(int index) {
        return mWitnesses.contains(index);
    }

    Instant now() {
        return mNow;
    }

    FakeDocumentService service() {
        return mService;
    }

    List<DocumentNode> nodes() {
        return mNodes;
    }

    DocumentNode node(int index) {
        return mNodes.get(Math.floorMod(index, mNodes.size()));
    }

    /** Reseeds the source of all following random choices. */
    void reseed(long seed) {
        mRandom = new SplittableRandom(seed);
    }

    void setFaultPercent(int percent) {
        mFaultPercent = percent;
    }

    void advance(Duration duration) {
        Instant end = mNow.plus(duration);
        while (!mSchedule.isEmpty() && !mSchedule.peek().at().isAfter(end)) {
            Scheduled next = mSchedule.remove();
            countReads(next.at());
            mNow = next.at();
            next.action().run();
            mNodes.forEach(DocumentNode::checkAuthority);
        }
        mNow = end;
    }

    int takeReadsInBusiestSecond() {
        int reads = mReadsInBusiestSecond;
        mReadsInBusiestSecond = 0;
        return reads;
    }

    private void countReads(Instant next) {
        if (next.getEpochSecond() != mNow.getEpochSecond()) {
            mReadsInBusiestSecond = Math.max(mReadsInBusiestSecond, mService.takeReadCount());
        }
    }

    void setServiceUp(boolean up) {
        mService.setUp(up);
        if (!up) {
            failWatches();
        }
    }

    void restoreService(int writes, boolean reusesRevisions) {
        mService.restore(writes, reusesRevisions);
        failWatches();
    }

    private void failWatches() {
        for (DocumentNode node : mNodes) {
            for (DocumentName name : node.takeWatches()) {
                node.receive(new DocumentEvent.WatchFailed(name, "the connection broke"));
            }
        }
    }

    void cutFromService(int index) {
        mCutFromService.add(node(index).index());
    }

    void cutPair(int first, int second) {
        mCutPairs.add(Set.copyOf(List.of(node(first).index(), node(second).index())));
    }

    void isolate(int index) {
        mNodes.forEach(other -> cutPair(index, other.index()));
        cutFromService(index);
    }

    void restart(int index) {
        DocumentNode node = node(index);
        node.restart();
        start(node);
    }

    void removeFaults() {
        mFaultPercent = 0;
        mService.setUp(true);
        mCutFromService.clear();
        mCutPairs.clear();
        mNodes.forEach(DocumentNode::resume);
        shareMembers();
    }

    void shareMembers() {
        mNodes.forEach(node -> listMembers(node, mNodes));
    }

    /** Tells a node that only some members, chosen at random, are live. */
    void hideMembers(int index) {
        DocumentNode node = node(index);
        listMembers(node, mNodes.stream().filter(n -> n == node || mRandom.nextBoolean()).toList());
    }

    private void start(DocumentNode node) {
        node.handle(new DocumentEvent.DocumentTracked(PLAN));
        listMembers(node, mNodes);
    }

    private void listMembers(DocumentNode node, List<DocumentNode> live) {
        List<Member> members = live.stream().map(DocumentNode::member).toList();
        node.receive(new DocumentEvent.MembersChanged(members, addresses()));
    }

    void propose(int index, DocumentName name) {
        DocumentNode node = node(index);
        long number =
                node.decider().currentVersion(name).map(VersionedDocument::number).orElse(0L) + 1;
        ChangeId change = new ChangeId(mProposed.size());
        byte[] bytes = ("change " + mRandom.nextInt(1_000) + " " + change).getBytes();
        VersionedDocument document = new VersionedDocument(name, number, bytes);
        mProposed.put(change, document);
        node.receive(new DocumentEvent.ChangeProposed(change, document));
    }

    void settled(ChangeId change, ChangeResult result) {
        mSettled.put(change, result);
    }

    /**
     * Checks that every result reported to an operator agrees with what the key-value service
     * wrote.
     */
    void checkSettledChanges() {
        mSettled.forEach(
                (change, result) -> {
                    boolean written = mService.wasWritten(mProposed.get(change));
                    if (result instanceof ChangeResult.Accepted && !written) {
                        throw new AssertionError(
                                "change " + change + " was reported as accepted but never written");
                    }
                    boolean uncertain = result instanceof ChangeResult.Uncertain;
                    boolean accepted = result instanceof ChangeResult.Accepted;
                    if (!accepted && !uncertain && written) {
                        throw new AssertionError(
                                "change " + change + " was written although reported as " + result);
                    }
                });
    }

    /**
     * Executes a decision. The result of a read is delivered with the true time at which the
     * key-value service executed it.
     */
    void execute(DocumentNode node, DocumentDecision decision) {
        if (decision instanceof DocumentDecision.ReadService read) {
            read(node, read);
        } else if (decision instanceof DocumentDecision.WriteBack write) {
            write(
                    node,
                    write.document(),
                    write.expected(),
                    outcome ->
                            new DocumentEvent.WriteBackFinished(write.document().name(), outcome));
        } else if (decision instanceof DocumentDecision.WriteChange write) {
            write(
                    node,
                    write.document(),
                    write.expected(),
                    outcome -> new DocumentEvent.ChangeWriteFinished(write.change(), outcome));
        } else if (decision instanceof DocumentDecision.PushDocument push) {
            push.peers().forEach(peer -> push(node, peer, push.document()));
        } else if (decision instanceof DocumentDecision.FetchDocument fetch) {
            Address self = node.member().peerAddress();
            send(
                    node,
                    fetch.peer(),
                    (peer, knowledge) ->
                            peer.receive(
                                    new DocumentEvent.FetchRequested(
                                            self, fetch.requestId(), fetch.name())));
        } else if (decision instanceof DocumentDecision.ReplyToFetch reply) {
            Address self = node.member().peerAddress();
            send(
                    node,
                    reply.peer(),
                    (peer, knowledge) ->
                            peer.receiveFrom(
                                    node.index(),
                                    knowledge,
                                    new DocumentEvent.FetchReplied(
                                            self,
                                            reply.requestId(),
                                            reply.document(),
                                            reply.digest())));
        }
    }

    private void push(DocumentNode node, Address peer, VersionedDocument document) {
        Address self = node.member().peerAddress();
        send(
                node,
                peer,
                (receiver, knowledge) ->
                        receiver.receive(new DocumentEvent.PushReceived(self, document)));
    }

    /** Simulates one probe with its acknowledgement, as the membership protocol sends them. */
    private void probe(DocumentNode node) {
        DocumentNode target = mNodes.get(mRandom.nextInt(mNodes.size()));
        if (target == node) {
            return;
        }
        Address self = node.member().peerAddress();
        Instant sentAt = node.localNow();
        int run = node.run();
        DocumentDigest digest = node.digest();
        send(
                node,
                target.member().peerAddress(),
                (peer, knowledge) ->
                        peer.receiveThen(
                                new DocumentEvent.DigestReceived(self, digest),
                                () -> acknowledge(peer, node, run, sentAt)));
    }

    private void acknowledge(DocumentNode peer, DocumentNode prober, int run, Instant sentAt) {
        DocumentDigest digest = peer.digest();
        Address address = peer.member().peerAddress();
        send(
                peer,
                prober.member().peerAddress(),
                (node, knowledge) -> {
                    if (node.run() == run) {
                        node.receiveFrom(
                                peer.index(),
                                knowledge,
                                new DocumentEvent.PeerReplied(address, sentAt, digest));
                    }
                });
    }

    private void read(DocumentNode node, DocumentDecision.ReadService read) {
        int run = node.run();
        Duration requestDelay = delay();
        if (faultOccurs() || !reachesService(node)) {
            after(
                    STORE_TIMEOUT,
                    () ->
                            node.receiveIn(
                                    run,
                                    new DocumentEvent.ServiceUnavailable(
                                            read.readId(), read.name(), "no reply")));
            mService.takeReadCount();
            return;
        }
        after(
                requestDelay,
                () -> {
                    FakeDocumentService.Entry entry = mService.read(read.name());
                    Instant executedAt = mNow;
                    after(
                            delay(),
                            () ->
                                    node.receiveRead(
                                            run,
                                            executedAt,
                                            new DocumentEvent.ServiceValueRead(
                                                    read.readId(),
                                                    read.name(),
                                                    entry.document(),
                                                    entry.revision())));
                });
    }

    private void write(
            DocumentNode node,
            VersionedDocument document,
            Revision expected,
            Function<DocumentWriteOutcome, DocumentEvent> event) {
        int run = node.run();
        if (!reachesService(node)) {
            node.receiveIn(run, event.apply(DocumentWriteOutcome.UNAVAILABLE));
            return;
        }
        boolean losesReply = faultOccurs();
        after(
                delay(),
                () -> {
                    boolean written = mService.compareAndSwap(document, expected, mNow);
                    if (written) {
                        notifyWatchers(document.name());
                    }
                    DocumentWriteOutcome outcome =
                            written ? DocumentWriteOutcome.WRITTEN : DocumentWriteOutcome.CONFLICT;
                    if (!losesReply) {
                        after(delay(), () -> node.receiveIn(run, event.apply(outcome)));
                    }
                });
        if (losesReply) {
            after(
                    STORE_TIMEOUT,
                    () -> node.receiveIn(run, event.apply(DocumentWriteOutcome.UNKNOWN)));
        }
    }

    private void notifyWatchers(DocumentName name) {
        FakeDocumentService.Entry entry = mService.find(name);
        for (DocumentNode node : mNodes) {
            if (node.watches(name) && reachesService(node)) {
                int run = node.run();
                DocumentEvent event =
                        new DocumentEvent.ServiceValueWatched(
                                name, entry.document(), entry.revision());
                after(delay(), () -> node.receiveIn(run, event));
            }
        }
    }

    boolean reachesService(DocumentNode node) {
        return mService.isUp() && !mCutFromService.contains(node.index());
    }

    private void send(
            DocumentNode from, Address to, BiConsumer<DocumentNode, SenderKnowledge> arrival) {
        DocumentNode receiver =
                mNodes.stream()
                        .filter(node -> node.member().peerAddress().equals(to))
                        .findFirst()
                        .orElseThrow();
        boolean cut = mCutPairs.contains(Set.of(from.index(), receiver.index()));
        SenderKnowledge knowledge = from.knowledge();
        int copies = faultOccurs() || cut ? 0 : faultOccurs() ? 2 : 1;
        for (int copy = 0; copy < copies; copy++) {
            Instant sentAt = mNow;
            after(
                    delay(),
                    () -> {
                        receiver.recordDirectReply(from.index(), sentAt);
                        arrival.accept(receiver, knowledge);
                    });
        }
    }

    private boolean faultOccurs() {
        return mRandom.nextInt(100) < mFaultPercent;
    }

    private Duration delay() {
        int longest = faultOccurs() ? SLOWEST_MILLIS : FASTEST_MILLIS;
        return Duration.ofMillis(1 + mRandom.nextInt(longest));
    }

    void after(Duration delay, Runnable action) {
        mOrder++;
        mSchedule.add(new Scheduled(mNow.plus(delay), mOrder, action));
    }

    private void every(Duration period, DocumentNode node, Runnable action) {
        Duration first = Duration.ofMillis(mRandom.nextLong(period.toMillis()));
        after(first, () -> repeat(period, node, action));
    }

    private void repeat(Duration period, DocumentNode node, Runnable action) {
        if (!node.isPaused()) {
            action.run();
        }
        after(period, () -> repeat(period, node, action));
    }

    /** Returns the newest current version of a document at any member, or null. */
    @Nullable VersionedDocument newest(DocumentName name) {
        return mNodes.stream()
                .map(node -> node.decider().currentVersion(name).orElse(null))
                .filter(Objects::nonNull)
                .reduce((first, second) -> second.isNewerThan(first) ? second : first)
                .orElse(null);
    }

    private record Scheduled(Instant at, long order, Runnable action) {}
}
