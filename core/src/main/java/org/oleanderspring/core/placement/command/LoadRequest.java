package org.oleanderspring.core.placement.command;

import java.time.Instant;
import java.util.Objects;
import org.oleanderspring.core.fleet.Checkpoint;
import org.oleanderspring.core.placement.SlotReason;

/**
 * A replica that is to be loaded.
 *
 * @param checkpoint what to load
 * @param deadline when it should be ready
 * @param expectedReady when it would be ready if the load started now
 * @param waiting how many calls wait
 * @param since when it was first asked for
 * @param reason why
 */
public record LoadRequest(
        Checkpoint checkpoint,
        Instant deadline,
        Instant expectedReady,
        int waiting,
        Instant since,
        SlotReason reason) {
    /** Checks for missing parts. */
    public LoadRequest {
        Objects.requireNonNull(checkpoint, "checkpoint");
        Objects.requireNonNull(deadline, "deadline");
        Objects.requireNonNull(expectedReady, "expectedReady");
        Objects.requireNonNull(since, "since");
        Objects.requireNonNull(reason, "reason");
    }

    /** Returns whether the load can be ready in time if it starts now. */
    public boolean isInTime() {
        return !expectedReady.isAfter(deadline);
    }
}
