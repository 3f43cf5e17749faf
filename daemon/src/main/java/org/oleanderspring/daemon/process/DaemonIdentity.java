package org.oleanderspring.daemon.process;

import java.util.Optional;
import org.oleanderspring.coordination.membership.Address;
import org.oleanderspring.coordination.membership.MemberId;

/**
 * Creates and parses the identity of a daemon process, which consists of its peer address and its
 * start time.
 *
 * <p>The address is part of the identity, so that the process now at this address can be queried
 * about an earlier process there. The start time distinguishes a restarted process from the earlier
 * one.
 */
public final class DaemonIdentity {
    private static final char SEPARATOR = '/';

    /** The radix of the start time, which keeps the identity short. */
    private static final int START_TIME_RADIX = 36;

    private DaemonIdentity() {}

    /**
     * Creates an identity.
     *
     * @param peerAddress the address at which other daemons connect
     * @param startMillis the start of the process, in milliseconds since 1970-01-01 UTC
     */
    public static MemberId of(Address peerAddress, long startMillis) {
        return new MemberId(
                peerAddress.toString() + SEPARATOR + Long.toString(startMillis, START_TIME_RADIX));
    }

    /**
     * Returns the peer address in an identity; empty if the identity does not have the form that
     * {@link #of} creates.
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
