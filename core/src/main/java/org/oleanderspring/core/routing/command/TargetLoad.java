package org.oleanderspring.core.routing.command;

import java.time.Duration;
import java.time.Instant;
import java.util.Objects;

/**
 * The load of a target at the moment when a call for it cannot be started.
 *
 * @param now the current time
 * @param waiting how many admitted calls of the target have no running attempt
 * @param queueLimit the maximum of {@code waiting}
 * @param replicaReady whether the target has ready replicas, none of which can take the call now
 * @param estimatedWait the estimated time until the response to the call begins; zero if unknown
 */
public record TargetLoad(
        Instant now, int waiting, int queueLimit, boolean replicaReady, Duration estimatedWait) {
    /** Rejects null components. */
    public TargetLoad {
        Objects.requireNonNull(now, "now");
        Objects.requireNonNull(estimatedWait, "estimatedWait");
    }
}
