package org.oleanderspring.peer;

/** Result of passing a message to the transport. */
public enum SendResult {
    /** The message was queued. It is sent if the receiver can be reached, and may still be lost. */
    ACCEPTED,
    /** The limit of unsent bytes to this receiver or to all receivers was reached. */
    QUEUE_FULL,
    /** The host of the receiver's address is not an IP address literal. */
    INVALID_RECEIVER,
    /** The message exceeds the maximum size of a frame or datagram. */
    TOO_LARGE,
    /** The transport has been closed. */
    CLOSED
}
