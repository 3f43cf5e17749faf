package org.oleanderspring.peer;

/** What became of a message that was given to be sent. */
public enum SendResult {
    /** It will be sent if the receiver can be reached; it may still get lost. */
    ACCEPTED,
    /** Too many messages to this receiver, or to all receivers, wait to be sent. */
    QUEUE_FULL,
    /** The receiver's address is not an IP number. */
    INVALID_RECEIVER,
    /** It does not fit in a frame or datagram. */
    TOO_LARGE,
    /** The sender has been closed. */
    CLOSED
}
