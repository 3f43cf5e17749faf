package org.oleanderspring.peer.command;

import org.oleanderspring.coordination.membership.Address;
import org.oleanderspring.peer.PeerMessage;
import org.oleanderspring.peer.SendResult;

/** Sends messages to other daemons. May be called on any thread. */
public interface PeerSender {
    /**
     * Queues a message without blocking. An accepted message may still be lost, so a caller that
     * needs a reply must repeat the message.
     *
     * @param receiver the receiver's peer address
     * @param message the message
     * @return whether the message was queued
     */
    SendResult send(Address receiver, PeerMessage message);

    /**
     * Queues a message as one datagram without blocking. Unlike a connection, a datagram cannot be
     * held up by a peer that has stopped responding.
     *
     * @param receiver the receiver's peer address
     * @param message the message
     * @return whether the message was queued; {@link SendResult#TOO_LARGE} if it does not fit in a
     *     datagram
     * @throws IllegalArgumentException if {@link PeerMessage#isAllowedAsDatagram} is false for the
     *     message
     */
    SendResult sendDatagram(Address receiver, PeerMessage message);
}
