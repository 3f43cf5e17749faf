package org.oleanderspring.daemon.membership.command;

import java.time.Instant;
import org.oleanderspring.coordination.membership.Address;
import org.oleanderspring.coordination.membership.MemberList;

/** Receives changes of members and the digests that they send, on the membership thread. */
public interface MembershipListener {
    /**
     * Called when the member list changed.
     *
     * @param members the new list
     */
    void membersListed(MemberList members);

    /**
     * Called when a member replied to a probe.
     *
     * @param peer the member's peer address
     * @param requestSentAt when the probe was sent, on this daemon's clock; the digest is not older
     * @param digest the encoded digest of the member's documents
     */
    void probeAcknowledged(Address peer, Instant requestSentAt, byte[] digest);

    /**
     * Called when a message other than a reply to a probe carried a digest.
     *
     * @param peer the sender's peer address
     * @param digest the encoded digest of the sender's documents; its age is unknown
     */
    void digestReceived(Address peer, byte[] digest);
}
