package org.oleanderspring.core.placement.command;

import java.time.Instant;
import java.util.Objects;
import org.oleanderspring.core.placement.Slot;

/**
 * A ready slot that nobody uses.
 *
 * @param slot the slot
 * @param lastUse when it was last used
 */
public record IdleSlot(Slot slot, Instant lastUse) {
    /** Checks for missing parts. */
    public IdleSlot {
        Objects.requireNonNull(slot, "slot");
        Objects.requireNonNull(lastUse, "lastUse");
    }
}
