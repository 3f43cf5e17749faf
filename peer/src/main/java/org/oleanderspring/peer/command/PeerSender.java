package org.oleanderspring.peer.command;

import org.oleanderspring.coordination.membership.Address;
import org.oleanderspring.peer.PeerMessage;
import org.oleanderspring.peer.SendResult;

/** Sends messages to other daemons. */
public interface PeerSender {
    /**
     * Queues a message without waiting. An accepted message may still get lost, so whoever needs a
     * reply repeats the message.
     *
     * @param receiver the receiver's peer address
     * @param message the message
     * @return whether it was queued
     */
    SendResult send(Address receiver, PeerMessage message);

    /**
     * Queues a message as one datagram, which needs no connection that could go silent.
     *
     * @param receiver the receiver's peer address
     * @param message the message
     * @return whether it was queued; {@link SendResult#TOO_LARGE} if it does not fit
     */
    SendResult sendDatagram(Address receiver, PeerMessage message);
}
