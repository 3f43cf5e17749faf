package org.oleanderspring.core.placement.command;

import java.time.Instant;
import java.util.Objects;
import org.oleanderspring.core.fleet.Checkpoint;
import org.oleanderspring.core.placement.SlotReason;

/**
 * A request to load one more replica.
 *
 * @param checkpoint the checkpoint to load
 * @param deadline the time by which the replica should be ready
 * @param expectedReady the time at which the replica would be ready if the load started now
 * @param waiting the number of waiting calls
 * @param since the time at which the replica was first requested
 * @param reason the reason for the load
 */
public record LoadRequest(
        Checkpoint checkpoint,
        Instant deadline,
        Instant expectedReady,
        int waiting,
        Instant since,
        SlotReason reason) {
    /** Rejects null components. */
    public LoadRequest {
        Objects.requireNonNull(checkpoint, "checkpoint");
        Objects.requireNonNull(deadline, "deadline");
        Objects.requireNonNull(expectedReady, "expectedReady");
        Objects.requireNonNull(since, "since");
        Objects.requireNonNull(reason, "reason");
    }

    /** Returns whether the replica would be ready by the deadline if the load started now. */
    public boolean isInTime() {
        return !expectedReady.isAfter(deadline);
    }
}
