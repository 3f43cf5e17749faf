package org.oleanderspring.bench;

import java.time.Instant;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import org.oleanderspring.coordination.document.ChangeId;
import org.oleanderspring.coordination.document.DocumentDigest;
import org.oleanderspring.coordination.document.DocumentName;
import org.oleanderspring.coordination.document.DocumentOptions;
import org.oleanderspring.coordination.document.DocumentWriteOutcome;
import org.oleanderspring.coordination.document.VersionedDocument;
import org.oleanderspring.coordination.document.command.DefaultDocumentDecider;
import org.oleanderspring.coordination.document.command.DocumentDecision;
import org.oleanderspring.coordination.document.command.DocumentEvent;
import org.oleanderspring.coordination.document.query.DigestSnapshot;
import org.oleanderspring.coordination.membership.Address;
import org.oleanderspring.coordination.membership.Member;
import org.oleanderspring.coordination.membership.MemberId;
import org.oleanderspring.coordination.membership.MemberState;
import org.oleanderspring.coordination.membership.MembershipMessage;
import org.oleanderspring.coordination.membership.MembershipOptions;
import org.oleanderspring.coordination.membership.command.DefaultMembershipDecider;
import org.oleanderspring.coordination.membership.command.MembershipDecision;
import org.oleanderspring.coordination.membership.command.MembershipEvent;
import org.oleanderspring.peer.PeerMessage;
import org.oleanderspring.peer.codec.PeerCodec;

/**
 * One simulated daemon: its membership decider and its document decider, connected to each other as
 * in the daemon. Messages between nodes are passed as objects; they are encoded only to count
 * bytes. Decisions about the authority to serve calls and about repairs of the stored settings are
 * ignored, because there are no calls and the store loses no write.
 */
final class ControlPlaneNode {
    private static final DocumentName SETTINGS = new DocumentName("settings");

    /** The size of each proposed settings document, all zero bytes. */
    private static final int SETTINGS_BYTES = 4_096;

    private static final int PORT_COUNT = 60_000;

    /** The port of the first node, which proposes the first settings. */
    private static final int FIRST_PORT = 1_000;

    private final Environment mEnvironment;
    private final Member mSelf;
    private final PeerCodec mCodec = new PeerCodec();
    private final DefaultMembershipDecider mMembership;
    private final DefaultDocumentDecider mDocuments;
    private DigestSnapshot mDigests = DigestSnapshot.EMPTY;
    private int mLiveMembers;
    private String mLastResult = "none";
    private long mSettingsVersion;
    private long mNextChange = 1;

    /** The network, the clock and the key-value service of a node. */
    interface Environment {
        /**
         * Sends a message that arrives in the same simulation step.
         *
         * @param receiver the peer address of the receiver
         * @param bytes the encoded size, for the byte count
         * @param delivery handles the message at the node that it is passed
         */
        void send(Address receiver, int bytes, Consumer<ControlPlaneNode> delivery);

        /** Queues a reply of the key-value service for the same simulation step. */
        void deliverReply(Runnable reply);

        /** Returns the time of the virtual clock. */
        Instant now();

        /** Returns the key-value service, which all nodes share. */
        SimulatedDocumentStore store();
    }

    ControlPlaneNode(int number, int domain, Environment environment, Instant now) {
        mEnvironment = environment;
        String ip = "10.0." + number / 250 + "." + (number % 250 + 1);
        Address address = new Address(ip, FIRST_PORT + number % PORT_COUNT);
        // The suffix is as long as the start time in the id of a real daemon, which keeps the
        // sizes of messages.
        mSelf =
                new Member(
                        new MemberId(address + "/abcdefgh"),
                        address,
                        new Address(ip, 1),
                        "domain-" + domain,
                        0,
                        MemberState.ALIVE);
        SplittableRandom random = new SplittableRandom(number);
        mMembership =
                new DefaultMembershipDecider(
                        mSelf,
                        MembershipOptions.defaults(),
                        time -> mCodec.encodeDigest(mDigests.at(time)),
                        random.split(),
                        now);
        mDocuments =
                new DefaultDocumentDecider(
                        mSelf, DocumentOptions.defaults(SETTINGS), random.split());
    }

    Address address() {
        return mSelf.peerAddress();
    }

    /** Returns whether this node sees at least that many live members and has settings. */
    boolean hasConverged(int members) {
        return mLiveMembers >= members && mSettingsVersion > 0;
    }

    /** Returns the result of the last change proposed here, or "none". */
    String lastResult() {
        return mLastResult;
    }

    /** Returns the number of live members in this node's view, itself included. */
    int liveMembers() {
        return mLiveMembers;
    }

    /** Returns the version number of the settings in force here; 0 before the first ones. */
    long settingsNumber() {
        return mSettingsVersion;
    }

    void setSeeds(List<Address> seeds, Instant now) {
        handleMembership(new MembershipEvent.SeedsListed(seeds), now);
    }

    /** Fires the timers; the first node also proposes the first settings. */
    void tick(Instant now) {
        handleMembership(new MembershipEvent.TimerFired(), now);
        handleDocument(new DocumentEvent.TimerFired(), now);
        if (mSettingsVersion == 0 && address().port() == FIRST_PORT) {
            proposeChange(now);
        }
    }

    /** Proposes the next version of the settings; the result is in {@link #lastResult}. */
    void proposeChange(Instant now) {
        handleDocument(
                new DocumentEvent.ChangeProposed(
                        new ChangeId(mNextChange++),
                        new VersionedDocument(
                                SETTINGS, mSettingsVersion + 1, new byte[SETTINGS_BYTES])),
                now);
    }

    /** Reports the present value of the settings key to this node, as a watch does. */
    void documentChanged() {
        SimulatedDocumentStore store = mEnvironment.store();
        handleDocument(
                new DocumentEvent.ServiceValueWatched(SETTINGS, store.document(), store.revision()),
                mEnvironment.now());
    }

    private void handleMembership(MembershipEvent event, Instant now) {
        for (MembershipDecision decision : mMembership.decide(event, now)) {
            execute(decision, now);
        }
    }

    private void execute(MembershipDecision decision, Instant now) {
        if (decision instanceof MembershipDecision.SendMessage send) {
            MembershipMessage message = send.message();
            mEnvironment.send(
                    send.receiver(),
                    encodedSize(new PeerMessage.Membership(message)),
                    node ->
                            node.handleMembership(
                                    new MembershipEvent.MessageReceived(message),
                                    mEnvironment.now()));
        } else if (decision instanceof MembershipDecision.PublishMembers publish) {
            mLiveMembers = publish.members().live().size();
            handleDocument(
                    new DocumentEvent.MembersChanged(
                            publish.members().live(), publish.members().quorumAddresses()),
                    now);
        } else if (decision instanceof MembershipDecision.ProbeAcknowledged acknowledged) {
            mCodec.decodeDigest(acknowledged.digest())
                    .ifPresent(
                            digest ->
                                    handleDocument(
                                            new DocumentEvent.PeerReplied(
                                                    acknowledged.peer(),
                                                    acknowledged.requestSentAt(),
                                                    digest),
                                            now));
        } else if (decision instanceof MembershipDecision.DigestReceived received) {
            mCodec.decodeDigest(received.digest())
                    .ifPresent(
                            digest ->
                                    handleDocument(
                                            new DocumentEvent.DigestReceived(
                                                    received.peer(), digest),
                                            now));
        }
    }

    private void handleDocument(DocumentEvent event, Instant now) {
        for (DocumentDecision decision : mDocuments.decide(event, now)) {
            execute(decision);
        }
    }

    private void execute(DocumentDecision decision) {
        if (decision instanceof DocumentDecision.PushDocument push) {
            PeerMessage message = new PeerMessage.DocumentPush(push.document());
            for (Address peer : push.peers()) {
                send(peer, message, new DocumentEvent.PushReceived(address(), push.document()));
            }
        } else if (decision instanceof DocumentDecision.FetchDocument fetch) {
            send(
                    fetch.peer(),
                    new PeerMessage.DocumentFetch(fetch.requestId(), fetch.name()),
                    new DocumentEvent.FetchRequested(address(), fetch.requestId(), fetch.name()));
        } else if (decision instanceof DocumentDecision.ReplyToFetch reply) {
            DocumentDigest digest = reply.digest();
            send(
                    reply.peer(),
                    new PeerMessage.DocumentReply(reply.requestId(), reply.document(), digest),
                    new DocumentEvent.FetchReplied(
                            address(), reply.requestId(), reply.document(), digest));
        } else if (decision instanceof DocumentDecision.ApplyDocument apply) {
            mSettingsVersion = apply.document().number();
        } else if (decision instanceof DocumentDecision.PublishDigest publish) {
            mDigests = publish.snapshot();
        } else {
            executeStoreDecision(decision);
        }
    }

    private void executeStoreDecision(DocumentDecision decision) {
        SimulatedDocumentStore store = mEnvironment.store();
        if (decision instanceof DocumentDecision.ReadService read) {
            mEnvironment.deliverReply(
                    () ->
                            handleDocument(
                                    new DocumentEvent.ServiceValueRead(
                                            read.readId(),
                                            SETTINGS,
                                            store.read(),
                                            store.revision()),
                                    mEnvironment.now()));
        } else if (decision instanceof DocumentDecision.ReportChangeResult report) {
            mLastResult = report.result().toString();
        } else if (decision instanceof DocumentDecision.StartWatch) {
            store.watch(this);
        } else if (decision instanceof DocumentDecision.StopWatch) {
            store.unwatch(this);
        } else if (decision instanceof DocumentDecision.WriteChange write) {
            boolean written = store.write(write.document(), write.expected());
            DocumentWriteOutcome outcome =
                    written ? DocumentWriteOutcome.WRITTEN : DocumentWriteOutcome.CONFLICT;
            mEnvironment.deliverReply(
                    () ->
                            handleDocument(
                                    new DocumentEvent.ChangeWriteFinished(write.change(), outcome),
                                    mEnvironment.now()));
        }
    }

    private void send(Address peer, PeerMessage message, DocumentEvent event) {
        mEnvironment.send(
                peer, encodedSize(message), node -> node.handleDocument(event, mEnvironment.now()));
    }

    private int encodedSize(PeerMessage message) {
        return mCodec.encode(address(), message).length;
    }
}
