package org.oleanderspring.peer.query;

/** Counts of the traffic between daemons since the start; readable on any thread. */
public interface PeerTraffic {
    /**
     * Returns the bytes received in frames and datagrams, without the headers of TCP, UDP and IP.
     */
    long bytesIn();

    /** Returns the bytes sent in frames and datagrams, without the headers of TCP, UDP and IP. */
    long bytesOut();

    /** Returns the number of messages received and understood. */
    long messagesIn();

    /** Returns the number of messages sent. */
    long messagesOut();

    /** Returns the number of frames and datagrams that were dropped because they are malformed. */
    long malformedIn();

    /** Returns the number of received messages that were dropped because a duty's ring was full. */
    long refusedIn();

    /** Returns the number of messages that could not be queued or sent. */
    long droppedOut();

    /** Returns the number of open connections, in both directions. */
    int openConnections();
}
