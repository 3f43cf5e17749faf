package org.oleanderspring.daemon.wiring.command;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import java.util.function.Function;
import org.oleanderspring.coordination.document.DocumentDigest;
import org.oleanderspring.coordination.document.command.DocumentEvent;
import org.oleanderspring.coordination.membership.Address;
import org.oleanderspring.coordination.membership.Member;
import org.oleanderspring.coordination.membership.MemberId;
import org.oleanderspring.coordination.membership.MemberList;
import org.oleanderspring.daemon.dispatch.command.DispatchInput;
import org.oleanderspring.daemon.document.command.DocumentInput;
import org.oleanderspring.daemon.lease.command.LeaseInput;
import org.oleanderspring.daemon.membership.command.MembershipListener;
import org.oleanderspring.daemon.placement.command.PlacementInput;
import org.oleanderspring.daemon.routing.command.RoutingInput;

/**
 * Forwards member lists and received document digests to the rings of other duties. Called on the
 * membership thread.
 */
public final class MembershipFanOut implements MembershipListener {
    private static final Logger LOGGER = System.getLogger(MembershipFanOut.class.getName());

    private final Rings mRings;
    private final Function<byte[], Optional<DocumentDigest>> mDigestDecoder;

    /**
     * Creates a listener that never blocks; an offer to a full ring is retried later.
     *
     * @param rings the rings of the duties
     * @param digestDecoder decodes digests; returns empty for a malformed one
     */
    public MembershipFanOut(Rings rings, Function<byte[], Optional<DocumentDigest>> digestDecoder) {
        mRings = rings;
        mDigestDecoder = digestDecoder;
    }

    @Override
    public void membersListed(MemberList members) {
        mRings.document().offer(new DocumentInput.MembersListed(members));
        mRings.placement().offer(new PlacementInput.MembersListed(members));
        List<MemberId> acceptingMemberIds =
                members.acceptingMembers().stream().map(Member::id).toList();
        mRings.lease().offer(new LeaseInput.MembersListed(acceptingMemberIds));
        mRings.dispatch().offer(new DispatchInput.MembersListed(acceptingMemberIds));
        // A draining daemon without other members has an empty list, but the count is at least 1.
        int daemons = Math.max(1, members.acceptingMembers().size());
        mRings.routing().offer(new RoutingInput.DaemonCountChanged(daemons));
    }

    @Override
    public void probeAcknowledged(Address peer, Instant requestSentAt, byte[] digest) {
        offer(digest, decoded -> new DocumentEvent.PeerReplied(peer, requestSentAt, decoded));
    }

    @Override
    public void digestReceived(Address peer, byte[] digest) {
        offer(digest, decoded -> new DocumentEvent.DigestReceived(peer, decoded));
    }

    private void offer(byte[] digest, Function<DocumentDigest, DocumentEvent> event) {
        Optional<DocumentDigest> decoded = mDigestDecoder.apply(digest);
        if (decoded.isEmpty()) {
            LOGGER.log(Level.DEBUG, "[membership] Ignoring a malformed document digest.");
            return;
        }
        mRings.document().offer(new DocumentInput.Event(event.apply(decoded.get())));
    }
}
