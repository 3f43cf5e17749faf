package org.oleanderspring.core.placement.command;

import java.time.Instant;
import java.util.Objects;
import org.oleanderspring.core.placement.Slot;

/**
 * A ready slot without calls.
 *
 * @param slot the slot
 * @param lastUse the time of the last use of its model, or the time at which the slot became ready
 *     if that is later
 */
public record IdleSlot(Slot slot, Instant lastUse) {
    /** Rejects null components. */
    public IdleSlot {
        Objects.requireNonNull(slot, "slot");
        Objects.requireNonNull(lastUse, "lastUse");
    }
}
