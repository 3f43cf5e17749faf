package org.oleanderspring.core.route;

import java.time.Duration;
import java.util.Objects;

/**
 * What a caller may send, and how long it may take or stay idle.
 *
 * @param headerBytes the largest head of a request
 * @param bodyBytes the largest body of a request
 * @param headerTime how long the head of a request may take to arrive
 * @param idleTime how long a connection may stay idle
 */
public record IngressLimits(
        int headerBytes, int bodyBytes, Duration headerTime, Duration idleTime) {
    /** The limits before a configuration is known. */
    public static final IngressLimits DEFAULT =
            new IngressLimits(16_384, 4 << 20, Duration.ofSeconds(3), Duration.ofSeconds(15));

    /** Checks the ranges. */
    public IngressLimits {
        Objects.requireNonNull(headerTime, "headerTime");
        Objects.requireNonNull(idleTime, "idleTime");
        if (headerBytes < 1 || bodyBytes < 0) {
            throw new IllegalArgumentException("ingress limit is out of range");
        }
    }
}
