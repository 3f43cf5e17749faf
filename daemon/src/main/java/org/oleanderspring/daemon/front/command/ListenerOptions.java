package org.oleanderspring.daemon.front.command;

import java.time.Duration;
import java.util.Objects;

/**
 * The limits of an HTTP listener.
 *
 * @param maxThreads the maximum number of threads
 * @param minThreads the minimum number of threads
 * @param maxHeaderBytes the maximum size of a request's headers, in bytes
 * @param idleTimeout how long a connection may stay idle before it is closed
 * @param acceptsAnyPath whether paths are accepted unchecked, so that ambiguous or malformed ones
 *     are forwarded as they are
 */
public record ListenerOptions(
        int maxThreads,
        int minThreads,
        int maxHeaderBytes,
        Duration idleTimeout,
        boolean acceptsAnyPath) {
    /**
     * Up to 12 threads, request headers of 16 KiB, connections idle for up to 10 minutes, and
     * unambiguous paths only.
     */
    public static final ListenerOptions DEFAULT =
            new ListenerOptions(12, 4, 16 * 1024, Duration.ofMinutes(10), false);

    /** Rejects a null timeout, limits below 1 and a maximum of threads below the minimum. */
    public ListenerOptions {
        Objects.requireNonNull(idleTimeout, "idleTimeout");
        if (minThreads < 1 || maxThreads < minThreads || maxHeaderBytes < 1) {
            throw new IllegalArgumentException(
                    "listener options out of range: threads "
                            + minThreads
                            + " to "
                            + maxThreads
                            + ", header limit "
                            + maxHeaderBytes
                            + " bytes; allowed: 1 <= minimum <= maximum threads, header limit of at"
                            + " least 1 byte");
        }
    }
}
