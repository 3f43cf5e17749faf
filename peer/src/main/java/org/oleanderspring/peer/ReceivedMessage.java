package org.oleanderspring.peer;

import java.util.Objects;
import org.oleanderspring.coordination.membership.Address;

/**
 * A message received from another daemon.
 *
 * @param sender the peer address that the message states for its sender; not verified against the
 *     socket
 * @param message the message
 */
public record ReceivedMessage(Address sender, PeerMessage message) {
    /** Checks that both components are present. */
    public ReceivedMessage {
        Objects.requireNonNull(sender, "sender");
        Objects.requireNonNull(message, "message");
    }
}
