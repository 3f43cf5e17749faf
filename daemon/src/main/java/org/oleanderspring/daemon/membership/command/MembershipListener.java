package org.oleanderspring.daemon.membership.command;

import java.time.Instant;
import org.oleanderspring.coordination.membership.Address;
import org.oleanderspring.coordination.membership.MemberList;

/** Is told of members, on the membership thread. */
public interface MembershipListener {
    /**
     * The member list changed.
     *
     * @param members the list
     */
    void membersListed(MemberList members);

    /**
     * A member replied to a probe.
     *
     * @param peer its peer address
     * @param requestSentAt when the probe was sent, on this daemon's clock
     * @param digest the encoded digest
     */
    void peerContacted(Address peer, Instant requestSentAt, byte[] digest);

    /**
     * A digest arrived that was not requested.
     *
     * @param peer the sender's peer address
     * @param digest the encoded digest
     */
    void digestReceived(Address peer, byte[] digest);
}
