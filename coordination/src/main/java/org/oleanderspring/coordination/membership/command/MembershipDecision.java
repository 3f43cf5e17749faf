package org.oleanderspring.coordination.membership.command;

import java.time.Instant;
import org.jspecify.annotations.Nullable;
import org.oleanderspring.coordination.membership.Address;
import org.oleanderspring.coordination.membership.Member;
import org.oleanderspring.coordination.membership.MemberList;
import org.oleanderspring.coordination.membership.MemberState;
import org.oleanderspring.coordination.membership.MembershipMessage;

/** Something that membership wants done. */
public sealed interface MembershipDecision {
    /**
     * Send a message; it may get lost.
     *
     * @param receiver the peer address of the receiver
     * @param message the message
     */
    record SendMessage(Address receiver, MembershipMessage message) implements MembershipDecision {}

    /**
     * A member joined, or its state changed.
     *
     * @param member what is known of it now
     * @param before its state before; null if it joined
     */
    record MemberChanged(Member member, @Nullable MemberState before)
            implements MembershipDecision {}

    /**
     * Use this list from now on.
     *
     * @param members the list
     */
    record PublishMembers(MemberList members) implements MembershipDecision {}

    /**
     * A member replied to a probe of this member.
     *
     * @param peer the member's peer address
     * @param requestSentAt when the probe was sent, on this member's clock
     * @param digest what the member says about its documents
     */
    record ProbeAcknowledged(Address peer, Instant requestSentAt, byte[] digest)
            implements MembershipDecision {}

    /**
     * A digest arrived that was not requested.
     *
     * @param peer the sender's peer address
     * @param digest what the sender says about its documents
     */
    record DigestReceived(Address peer, byte[] digest) implements MembershipDecision {}
}
