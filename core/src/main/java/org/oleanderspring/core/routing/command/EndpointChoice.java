package org.oleanderspring.core.routing.command;

import java.util.Objects;

/**
 * The replica chosen by a selector.
 *
 * @param index the index of the replica among the candidates
 * @param reason why the replica was chosen, for the log
 */
public record EndpointChoice(int index, String reason) {
    /** Rejects a negative index. */
    public EndpointChoice {
        if (index < 0) {
            throw new IllegalArgumentException("candidate index is negative: " + index);
        }
        Objects.requireNonNull(reason, "reason");
    }
}
