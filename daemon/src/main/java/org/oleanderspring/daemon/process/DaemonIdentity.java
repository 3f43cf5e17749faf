package org.oleanderspring.daemon.process;

import java.util.Optional;
import org.oleanderspring.coordination.membership.Address;
import org.oleanderspring.coordination.membership.MemberId;

/**
 * Makes the identity of a daemon run: its peer address and the time of its start.
 *
 * <p>The address is part of the identity, so that a daemon can be asked about an earlier run at the
 * same address, and a restarted one is not taken for the earlier run.
 */
public final class DaemonIdentity {
    private static final char SEPARATOR = '/';
    private static final int RADIX = 36;

    private DaemonIdentity() {}

    /**
     * Makes an identity.
     *
     * @param peerAddress where other daemons connect
     * @param startMillis when the process started, in milliseconds since 1970
     */
    public static MemberId of(Address peerAddress, long startMillis) {
        return new MemberId(peerAddress.toString() + SEPARATOR + Long.toString(startMillis, RADIX));
    }

    /**
     * Returns the peer address in an identity, or nothing if it was made elsewhere.
     *
     * @param member the identity
     */
    public static Optional<Address> addressOf(MemberId member) {
        int separator = member.value().indexOf(SEPARATOR);
        int colon = member.value().lastIndexOf(':', separator);
        if (separator < 0 || colon < 0) {
            return Optional.empty();
        }
        try {
            int port = Integer.parseInt(member.value().substring(colon + 1, separator));
            return Optional.of(new Address(member.value().substring(0, colon), port));
        } catch (IllegalArgumentException malformed) {
            return Optional.empty();
        }
    }
}
