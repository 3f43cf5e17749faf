package org.oleanderspring.peer;

import java.time.Duration;

/**
 * Limits of the traffic between daemons.
 *
 * @param frameBytes the largest frame
 * @param datagramBytes the largest datagram
 * @param queuedBytesPerPeer the most bytes that wait to be sent to one daemon
 * @param queuedBytes the most bytes that wait to be sent to all daemons
 * @param connectTimeout how long to wait for a connection
 * @param idleTime how long an unused connection stays open
 * @param threads the number of event-loop threads
 */
public record PeerLimits(
        int frameBytes,
        int datagramBytes,
        int queuedBytesPerPeer,
        int queuedBytes,
        Duration connectTimeout,
        Duration idleTime,
        int threads) {
    /** A value of the key-value service, and room for the rest of the message. */
    public static final int DEFAULT_FRAME_BYTES = (1 << 20) + (64 << 10);

    private static final int DEFAULT_DATAGRAM_BYTES = 1_200;
    private static final int DEFAULT_QUEUED_BYTES_PER_PEER = 2 * DEFAULT_FRAME_BYTES;
    private static final int DEFAULT_QUEUED_BYTES = 16 << 20;
    private static final Duration DEFAULT_CONNECT_TIMEOUT = Duration.ofSeconds(2);
    private static final Duration DEFAULT_IDLE_TIME = Duration.ofSeconds(60);
    private static final int DEFAULT_THREADS = 2;

    /** Checks the ranges. */
    public PeerLimits {
        if (frameBytes < 1 || datagramBytes < 1 || threads < 1) {
            throw new IllegalArgumentException("a limit is not positive");
        }
        if (queuedBytesPerPeer < frameBytes || queuedBytes < queuedBytesPerPeer) {
            throw new IllegalArgumentException("a queue does not hold the largest frame");
        }
    }

    /** Returns the usual limits. */
    public static PeerLimits usual() {
        return new PeerLimits(
                DEFAULT_FRAME_BYTES,
                DEFAULT_DATAGRAM_BYTES,
                DEFAULT_QUEUED_BYTES_PER_PEER,
                DEFAULT_QUEUED_BYTES,
                DEFAULT_CONNECT_TIMEOUT,
                DEFAULT_IDLE_TIME,
                DEFAULT_THREADS);
    }
}
