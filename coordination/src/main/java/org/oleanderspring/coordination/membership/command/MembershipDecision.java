package org.oleanderspring.coordination.membership.command;

import java.time.Instant;
import org.jspecify.annotations.Nullable;
import org.oleanderspring.coordination.membership.Address;
import org.oleanderspring.coordination.membership.Member;
import org.oleanderspring.coordination.membership.MemberList;
import org.oleanderspring.coordination.membership.MemberState;
import org.oleanderspring.coordination.membership.MembershipMessage;

/** An action or notification of {@link MembershipDecider}. */
public sealed interface MembershipDecision {
    /**
     * Send a message; delivery is not guaranteed.
     *
     * @param receiver the peer address of the receiver
     * @param message the message
     */
    record SendMessage(Address receiver, MembershipMessage message) implements MembershipDecision {}

    /**
     * A member joined, or its state changed.
     *
     * @param member the current description of the member
     * @param previousState its state before; null if it joined
     */
    record MemberChanged(Member member, @Nullable MemberState previousState)
            implements MembershipDecision {}

    /**
     * Replace the published member list.
     *
     * @param members the list
     */
    record PublishMembers(MemberList members) implements MembershipDecision {}

    /**
     * A member replied to a probe of this member.
     *
     * @param peer the member's peer address
     * @param requestSentAt when the probe was sent, on this member's clock
     * @param digest the encoded digest of the member's documents
     */
    record ProbeAcknowledged(Address peer, Instant requestSentAt, byte[] digest)
            implements MembershipDecision {}

    /**
     * A digest arrived with a probe or a probe request, not as a reply to this member.
     *
     * @param peer the sender's peer address
     * @param digest the encoded digest of the sender's documents
     */
    record DigestReceived(Address peer, byte[] digest) implements MembershipDecision {}
}
