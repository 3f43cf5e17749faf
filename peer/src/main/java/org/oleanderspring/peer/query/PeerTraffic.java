package org.oleanderspring.peer.query;

/** Counters of the peer transport since its start; readable on any thread. */
public interface PeerTraffic {
    /**
     * Returns the number of bytes received in frames and datagrams, without TCP, UDP and IP
     * headers.
     */
    long bytesIn();

    /**
     * Returns the number of bytes sent in frames and datagrams, without TCP, UDP and IP headers.
     */
    long bytesOut();

    /** Returns the number of messages received and decoded. */
    long messagesIn();

    /** Returns the number of messages sent. */
    long messagesOut();

    /** Returns the number of frames and datagrams that were dropped as malformed. */
    long malformedIn();

    /**
     * Returns the number of decoded messages that were dropped because the ring of the duty that
     * handles them was full or the duty had stopped.
     */
    long refusedIn();

    /**
     * Returns the number of messages that were dropped because they could not be queued or sent. A
     * message that {@code sendDatagram} does not accept is not counted.
     */
    long droppedOut();

    /** Returns the number of open connections, in both directions. */
    int openConnections();
}
