package org.oleanderspring.daemon.front.command;

import java.time.Duration;
import java.util.Objects;

/**
 * How an HTTP listener is set up.
 *
 * @param maxThreads at most this many threads
 * @param minThreads at least this many threads
 * @param maxHeaderBytes the largest head of a request
 * @param idleTimeout how long a connection may stay idle
 * @param acceptsAnyPath whether paths are passed on as they are, so that none is refused for its
 *     form
 */
public record ListenerOptions(
        int maxThreads,
        int minThreads,
        int maxHeaderBytes,
        Duration idleTimeout,
        boolean acceptsAnyPath) {
    /** The usual options. */
    public static final ListenerOptions DEFAULT =
            new ListenerOptions(12, 4, 16 * 1024, Duration.ofMinutes(10), false);

    /** Checks the ranges. */
    public ListenerOptions {
        Objects.requireNonNull(idleTimeout, "idleTime");
        if (minThreads < 1 || maxThreads < minThreads || maxHeaderBytes < 1) {
            throw new IllegalArgumentException("listener option is out of range");
        }
    }
}
