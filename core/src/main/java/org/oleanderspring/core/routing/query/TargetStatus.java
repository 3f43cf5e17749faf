package org.oleanderspring.core.routing.query;

import java.time.Duration;
import java.util.Objects;
import org.oleanderspring.core.routing.Target;

/**
 * The calls of one target.
 *
 * @param target the target
 * @param waiting the number of calls that wait for a replica
 * @param claiming the number of calls that wait for the claim of their dispatch record
 * @param running the number of running attempts
 * @param capacity the total concurrency of the replicas that accept calls
 * @param estimatedWait the estimated time until the response to one more call would begin; zero if
 *     unknown
 */
public record TargetStatus(
        Target target,
        int waiting,
        int claiming,
        int running,
        int capacity,
        Duration estimatedWait) {
    /** Rejects null components. */
    public TargetStatus {
        Objects.requireNonNull(target, "target");
        Objects.requireNonNull(estimatedWait, "estimatedWait");
    }
}
