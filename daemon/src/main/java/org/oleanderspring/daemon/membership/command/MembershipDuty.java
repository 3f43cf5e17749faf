package org.oleanderspring.daemon.membership.command;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.oleanderspring.coordination.membership.Member;
import org.oleanderspring.coordination.membership.MemberList;
import org.oleanderspring.coordination.membership.command.DefaultMembershipDecider;
import org.oleanderspring.coordination.membership.command.MembershipDecision;
import org.oleanderspring.coordination.membership.command.MembershipEvent;
import org.oleanderspring.core.fleet.FailureDomain;
import org.oleanderspring.core.settings.SettingName;
import org.oleanderspring.daemon.front.query.EntryDirectory;
import org.oleanderspring.daemon.process.MonotonicClock;
import org.oleanderspring.duty.command.EventHandler;
import org.oleanderspring.peer.PeerMessage;
import org.oleanderspring.peer.command.PeerSender;

/**
 * Executes the decisions about members, and replies to queries for the entry directory. All state
 * is confined to the membership thread.
 */
public final class MembershipDuty implements EventHandler<MembershipInput> {
    private static final Logger LOGGER = System.getLogger(MembershipDuty.class.getName());

    private final DefaultMembershipDecider mDecider;
    private final EncodedDigestSource mDigests;
    private final PeerSender mPeers;
    private final MembershipListener mListener;
    private final MonotonicClock mClock;
    private MemberList mMembers;
    private Duration mDirectoryTimeToLive =
            Duration.ofSeconds(SettingName.DIRECTORY_KEEP.defaultValue());

    /**
     * Creates the duty; it handles events once its thread is started.
     *
     * @param decider decides which members are probed and what their states are
     * @param digests provides the digest that the decider's messages carry
     * @param peers sends messages to other daemons
     * @param listener receives changes of members, on the membership thread
     * @param clock the clock of probes and time-outs
     */
    public MembershipDuty(
            DefaultMembershipDecider decider,
            EncodedDigestSource digests,
            PeerSender peers,
            MembershipListener listener,
            MonotonicClock clock) {
        mDecider = decider;
        mDigests = digests;
        mPeers = peers;
        mListener = listener;
        mClock = clock;
        mMembers = decider.members();
    }

    @Override
    public void handle(MembershipInput input) {
        if (input instanceof MembershipInput.Event event) {
            decide(event.event());
        } else if (input instanceof MembershipInput.DigestPublished published) {
            mDigests.update(published.snapshot());
        } else if (input instanceof MembershipInput.DirectoryTimeToLiveChanged changed) {
            mDirectoryTimeToLive = changed.timeToLive();
        } else if (input instanceof MembershipInput.DirectoryRequested query) {
            query.reply().complete(directory());
        } else if (input instanceof MembershipInput.MembersRequested query) {
            query.reply().complete(mDecider.knownMembers());
        }
    }

    private void decide(MembershipEvent event) {
        for (MembershipDecision decision : mDecider.decide(event, mClock.now())) {
            execute(decision);
        }
    }

    private void execute(MembershipDecision decision) {
        if (decision instanceof MembershipDecision.SendMessage send) {
            mPeers.send(send.receiver(), new PeerMessage.Membership(send.message()));
        } else if (decision instanceof MembershipDecision.MemberChanged changed) {
            LOGGER.log(
                    Level.INFO,
                    "[membership] Member {0} is now {1}.",
                    changed.member().id(),
                    changed.member().state());
        } else if (decision instanceof MembershipDecision.PublishMembers publish) {
            mMembers = publish.members();
            mListener.membersListed(publish.members());
        } else if (decision instanceof MembershipDecision.ProbeAcknowledged acknowledged) {
            mListener.probeAcknowledged(
                    acknowledged.peer(), acknowledged.requestSentAt(), acknowledged.digest());
        } else if (decision instanceof MembershipDecision.DigestReceived received) {
            mListener.digestReceived(received.peer(), received.digest());
        }
    }

    private EntryDirectory directory() {
        List<EntryDirectory.Entry> entries = new ArrayList<>();
        for (Member member : mMembers.acceptingMembers()) {
            entries.add(
                    new EntryDirectory.Entry(
                            member.callerAddress(), new FailureDomain(member.failureDomain())));
        }
        return new EntryDirectory(entries, mDirectoryTimeToLive);
    }
}
