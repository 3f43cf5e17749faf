package org.oleanderspring.daemon.front.command;

import java.time.Duration;
import java.util.Objects;

/**
 * How an HTTP listener is set up.
 *
 * @param highestThreads at most this many threads
 * @param lowestThreads at least this many threads
 * @param headerBytes the largest head of a request
 * @param idleTime how long a connection may stay idle
 * @param passesPathsOn whether paths are passed on as they are, so that none is refused for its
 *     form
 */
public record ListenerOptions(
        int highestThreads,
        int lowestThreads,
        int headerBytes,
        Duration idleTime,
        boolean passesPathsOn) {
    /** The usual options. */
    public static final ListenerOptions DEFAULT =
            new ListenerOptions(12, 4, 16 * 1024, Duration.ofMinutes(10), false);

    /** Checks the ranges. */
    public ListenerOptions {
        Objects.requireNonNull(idleTime, "idleTime");
        if (lowestThreads < 1 || highestThreads < lowestThreads || headerBytes < 1) {
            throw new IllegalArgumentException("listener option is out of range");
        }
    }
}
