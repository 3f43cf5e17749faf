package org.oleanderspring.core.placement;

import java.util.Objects;
import org.oleanderspring.coordination.lease.FencingToken;

/**
 * The last order for a slot.
 *
 * @param id the unique identifier of the order
 * @param term the ownership term in which the order was decided
 * @param sender the daemon that may have sent the order
 */
public record SlotOrder(OrderId id, FencingToken term, OrderSender sender) {
    /** Rejects null components. */
    public SlotOrder {
        Objects.requireNonNull(id, "id");
        Objects.requireNonNull(term, "term");
        Objects.requireNonNull(sender, "sender");
    }
}
