package org.oleanderspring.core.routing.command;

import java.util.Objects;

/**
 * The replica that a selector chose.
 *
 * @param index its index among the candidates
 * @param reason why, for the log
 */
public record EndpointChoice(int index, String reason) {
    /** Checks the parts. */
    public EndpointChoice {
        if (index < 0) {
            throw new IllegalArgumentException("index is negative: " + index);
        }
        Objects.requireNonNull(reason, "reason");
    }
}
