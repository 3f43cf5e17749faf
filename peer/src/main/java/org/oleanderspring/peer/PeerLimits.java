package org.oleanderspring.peer;

import java.time.Duration;

/**
 * Limits and sizes of the peer transport.
 *
 * @param frameBytes the maximum size of a frame, without its length field
 * @param datagramBytes the maximum payload of a datagram
 * @param queuedBytesPerPeer the maximum number of unsent bytes in frames to one daemon; at least
 *     {@code frameBytes}
 * @param queuedBytes the maximum number of unsent bytes to all daemons, datagrams included; at
 *     least {@code queuedBytesPerPeer}
 * @param connectTimeout the time limit for opening a connection
 * @param idleTime the idle time after which the daemon that opened a connection closes it
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
    /**
     * 1 MiB for a value of the key-value service, and 64 KiB for the other fields of the message.
     */
    public static final int DEFAULT_FRAME_BYTES = (1 << 20) + (64 << 10);

    private static final int DEFAULT_DATAGRAM_BYTES = 1_200;
    private static final int DEFAULT_QUEUED_BYTES_PER_PEER = 2 * DEFAULT_FRAME_BYTES;
    private static final int DEFAULT_QUEUED_BYTES = 16 << 20;
    private static final Duration DEFAULT_CONNECT_TIMEOUT = Duration.ofSeconds(2);
    private static final Duration DEFAULT_IDLE_TIME = Duration.ofSeconds(60);
    private static final int DEFAULT_THREADS = 2;

    /** Checks that the limits are positive and that each queue can hold the largest frame. */
    public PeerLimits {
        if (frameBytes < 1 || datagramBytes < 1 || threads < 1) {
            throw new IllegalArgumentException(
                    "frameBytes, datagramBytes and threads must be positive: "
                            + frameBytes
                            + ", "
                            + datagramBytes
                            + ", "
                            + threads);
        }
        if (queuedBytesPerPeer < frameBytes || queuedBytes < queuedBytesPerPeer) {
            throw new IllegalArgumentException(
                    "queuedBytesPerPeer ("
                            + queuedBytesPerPeer
                            + ") must be at least frameBytes ("
                            + frameBytes
                            + ") and at most queuedBytes ("
                            + queuedBytes
                            + ")");
        }
    }

    /** Returns the limits that daemons use; they are not configurable. */
    public static PeerLimits defaults() {
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
