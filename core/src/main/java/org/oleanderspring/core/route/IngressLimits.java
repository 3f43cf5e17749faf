package org.oleanderspring.core.route;

import java.time.Duration;
import java.util.Objects;

/**
 * The limits for requests and connections of callers, as the platform's configuration states them.
 * The gateway enforces only {@code bodyBytes}, after it has received the body; its listener has its
 * own limits for the head and the idle time.
 *
 * @param headerBytes the maximum size of a request head
 * @param bodyBytes the maximum size of a request body
 * @param headerTime the maximum time in which a request head must arrive
 * @param idleTime the maximum time for which a connection may be idle
 */
public record IngressLimits(
        int headerBytes, int bodyBytes, Duration headerTime, Duration idleTime) {
    /** The limits that apply before the configuration is known. */
    public static final IngressLimits DEFAULT =
            new IngressLimits(16_384, 4 << 20, Duration.ofSeconds(3), Duration.ofSeconds(15));

    /** Rejects null times and sizes out of range; the length of the times is not checked. */
    public IngressLimits {
        Objects.requireNonNull(headerTime, "headerTime");
        Objects.requireNonNull(idleTime, "idleTime");
        if (headerBytes < 1 || bodyBytes < 0) {
            throw new IllegalArgumentException(
                    "ingress limit is out of range: head "
                            + headerBytes
                            + " bytes, body "
                            + bodyBytes
                            + " bytes; allowed: head at least 1, body at least 0");
        }
    }
}
