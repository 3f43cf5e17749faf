package org.oleanderspring.peer;

import java.util.Objects;
import org.oleanderspring.coordination.membership.Address;

/**
 * A message of another daemon.
 *
 * @param sender the peer address that the sender states
 * @param message the message
 */
public record ReceivedMessage(Address sender, PeerMessage message) {
    /** Checks for missing parts. */
    public ReceivedMessage {
        Objects.requireNonNull(sender, "sender");
        Objects.requireNonNull(message, "message");
    }
}
