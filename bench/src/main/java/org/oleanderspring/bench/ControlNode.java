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

/** Membership and documents of one daemon, as the daemon's duties drive them. */
final class ControlNode {
    private static final DocumentName SETTINGS = new DocumentName("settings");
    private static final int SETTINGS_BYTES = 4_096;
    private static final int PORTS = 60_000;
    private static final int FIRST_PORT = 1_000;

    private final Outside mOutside;
    private final Member mSelf;
    private final PeerCodec mCodec = new PeerCodec();
    private final DefaultMembershipDecider mMembership;
    private final DefaultDocumentDecider mDocuments;
    private DigestSnapshot mSnapshot = DigestSnapshot.EMPTY;
    private int mKnown;
    private String mLastResult = "none";
    private long mSettingsNumber;
    private long mNextChange = 1;

    /** What a node reaches. */
    interface Outside {
        /** Sends a message that arrives in the same step. */
        void send(Address receiver, int bytes, Consumer<ControlNode> message);

        /** Runs a reply of the service in the same step. */
        void later(Runnable reply);

        /** Returns the virtual time. */
        Instant now();

        /** Returns the key-value service. */
        ControlStore store();
    }

    ControlNode(int number, int domain, Outside outside, Instant now) {
        mOutside = outside;
        String ip = "10.0." + number / 250 + "." + (number % 250 + 1);
        Address address = new Address(ip, FIRST_PORT + number % PORTS);
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
                        time -> mCodec.encodeDigest(mSnapshot.at(time)),
                        random.split(),
                        now);
        mDocuments =
                new DefaultDocumentDecider(
                        mSelf, DocumentOptions.defaults(SETTINGS), random.split());
    }

    Address address() {
        return mSelf.peerAddress();
    }

    boolean knows(int members) {
        return mKnown >= members && mSettingsNumber > 0;
    }

    String lastResult() {
        return mLastResult;
    }

    int known() {
        return mKnown;
    }

    long settingsNumber() {
        return mSettingsNumber;
    }

    void listSeeds(List<Address> seeds, Instant now) {
        membership(new MembershipEvent.SeedsListed(seeds), now);
    }

    void tick(Instant now) {
        membership(new MembershipEvent.TimerFired(), now);
        document(new DocumentEvent.TimerFired(), now);
        if (mSettingsNumber == 0 && address().port() == FIRST_PORT) {
            proposeChange(now);
        }
    }

    void proposeChange(Instant now) {
        document(
                new DocumentEvent.ChangeProposed(
                        new ChangeId(mNextChange++),
                        new VersionedDocument(
                                SETTINGS, mSettingsNumber + 1, new byte[SETTINGS_BYTES])),
                now);
    }

    void watched() {
        ControlStore store = mOutside.store();
        document(
                new DocumentEvent.ServiceValueWatched(SETTINGS, store.document(), store.revision()),
                mOutside.now());
    }

    private void membership(MembershipEvent event, Instant now) {
        for (MembershipDecision decision : mMembership.decide(event, now)) {
            carryOut(decision, now);
        }
    }

    private void carryOut(MembershipDecision decision, Instant now) {
        if (decision instanceof MembershipDecision.SendMessage send) {
            MembershipMessage message = send.message();
            mOutside.send(
                    send.receiver(),
                    bytesOf(new PeerMessage.Membership(message)),
                    node ->
                            node.membership(
                                    new MembershipEvent.MessageReceived(message), mOutside.now()));
        } else if (decision instanceof MembershipDecision.PublishMembers publish) {
            mKnown = publish.members().live().size();
            document(
                    new DocumentEvent.MembersChanged(
                            publish.members().live(), publish.members().quorumAddresses()),
                    now);
        } else if (decision instanceof MembershipDecision.ProbeAcknowledged contacted) {
            mCodec.decodeDigest(contacted.digest())
                    .ifPresent(
                            digest ->
                                    document(
                                            new DocumentEvent.PeerReplied(
                                                    contacted.peer(),
                                                    contacted.requestSentAt(),
                                                    digest),
                                            now));
        } else if (decision instanceof MembershipDecision.DigestReceived received) {
            mCodec.decodeDigest(received.digest())
                    .ifPresent(
                            digest ->
                                    document(
                                            new DocumentEvent.DigestReceived(
                                                    received.peer(), digest),
                                            now));
        }
    }

    private void document(DocumentEvent event, Instant now) {
        for (DocumentDecision decision : mDocuments.decide(event, now)) {
            carryOut(decision);
        }
    }

    private void carryOut(DocumentDecision decision) {
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
        } else if (decision instanceof DocumentDecision.ApplyDocument put) {
            mSettingsNumber = put.document().number();
        } else if (decision instanceof DocumentDecision.PublishDigest publish) {
            mSnapshot = publish.snapshot();
        } else {
            useStore(decision);
        }
    }

    private void useStore(DocumentDecision decision) {
        ControlStore store = mOutside.store();
        if (decision instanceof DocumentDecision.ReadService read) {
            mOutside.later(
                    () ->
                            document(
                                    new DocumentEvent.ServiceValueRead(
                                            read.readId(),
                                            SETTINGS,
                                            store.read(),
                                            store.revision()),
                                    mOutside.now()));
        } else if (decision instanceof DocumentDecision.SettleChange settle) {
            mLastResult = settle.result().toString();
        } else if (decision instanceof DocumentDecision.StartWatch) {
            store.watch(this);
        } else if (decision instanceof DocumentDecision.StopWatch) {
            store.unwatch(this);
        } else if (decision instanceof DocumentDecision.WriteChange write) {
            boolean written = store.write(write.document(), write.expected());
            DocumentWriteOutcome outcome =
                    written ? DocumentWriteOutcome.WRITTEN : DocumentWriteOutcome.CONFLICT;
            mOutside.later(
                    () ->
                            document(
                                    new DocumentEvent.ChangeWriteFinished(write.change(), outcome),
                                    mOutside.now()));
        }
    }

    private void send(Address peer, PeerMessage message, DocumentEvent event) {
        mOutside.send(peer, bytesOf(message), node -> node.document(event, mOutside.now()));
    }

    private int bytesOf(PeerMessage message) {
        return mCodec.encode(address(), message).length;
    }
}
