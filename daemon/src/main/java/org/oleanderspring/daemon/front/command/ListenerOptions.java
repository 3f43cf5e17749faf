package org.oleanderspring.daemon.front.command;

import java.time.Duration;
import java.util.Objects;

/**
 * The limits of an HTTP listener.
 *
 * @param highestThreads the maximum number of threads
 * @param lowestThreads the minimum number of threads
 * @param headerBytes the maximum size of a request's headers, in bytes
 * @param idleTime how long a connection may stay idle before it is closed
 * @param passesPathsOn whether paths are accepted unchecked, so that ambiguous or malformed ones
 *     are forwarded as they are
 */
public record ListenerOptions(
        int highestThreads,
        int lowestThreads,
        int headerBytes,
        Duration idleTime,
        boolean passesPathsOn) {
    /** The options of a listener that needs no special ones. */
    public static final ListenerOptions DEFAULT =
            new ListenerOptions(12, 4, 16 * 1024, Duration.ofMinutes(10), false);

    /** Rejects values out of range. */
    public ListenerOptions {
        Objects.requireNonNull(idleTime, "idleTime");
        if (lowestThreads < 1 || highestThreads < lowestThreads || headerBytes < 1) {
            throw new IllegalArgumentException(
                    "listener options out of range: threads "
                            + lowestThreads
                            + " to "
                            + highestThreads
                            + ", header limit "
                            + headerBytes
                            + " bytes");
        }
    }
}
