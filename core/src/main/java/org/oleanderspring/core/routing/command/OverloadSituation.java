package org.oleanderspring.core.routing.command;

import java.time.Duration;
import java.time.Instant;
import java.util.Objects;

/**
 * The state of a target when a call finds no free replica.
 *
 * @param now the current time
 * @param waiting how many calls wait for the target
 * @param queueLimit how many may wait
 * @param replicaReady whether the target has a ready replica, all of whose capacity is in use
 * @param estimatedWait how long the call would wait until its answer begins; zero if unknown
 */
public record OverloadSituation(
        Instant now, int waiting, int queueLimit, boolean replicaReady, Duration estimatedWait) {
    /** Checks for missing parts. */
    public OverloadSituation {
        Objects.requireNonNull(now, "now");
        Objects.requireNonNull(estimatedWait, "estimatedWait");
    }
}
