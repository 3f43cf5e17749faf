package org.oleanderspring.core.routing.query;

import java.time.Duration;
import java.util.Objects;
import org.oleanderspring.core.routing.Target;

/**
 * The calls of one target.
 *
 * @param target the target
 * @param waiting how many calls wait for a replica
 * @param claiming how many calls wait for their dispatch record
 * @param running how many attempts run
 * @param capacity how many attempts the ready replicas may run
 * @param estimatedWait how long one more call would wait for its answer; zero if unknown
 */
public record TargetStatus(
        Target target,
        int waiting,
        int claiming,
        int running,
        int capacity,
        Duration estimatedWait) {
    /** Checks for missing parts. */
    public TargetStatus {
        Objects.requireNonNull(target, "target");
        Objects.requireNonNull(estimatedWait, "estimatedWait");
    }
}
