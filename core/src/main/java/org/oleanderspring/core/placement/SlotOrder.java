package org.oleanderspring.core.placement;

import java.util.Objects;
import org.oleanderspring.coordination.lease.FencingToken;

/**
 * The last order of a slot.
 *
 * @param id the identity of the order
 * @param term the term in which it was decided
 * @param sender the daemon that may have sent it
 */
public record SlotOrder(OrderId id, FencingToken term, OrderSender sender) {
    /** Checks for missing parts. */
    public SlotOrder {
        Objects.requireNonNull(id, "id");
        Objects.requireNonNull(term, "term");
        Objects.requireNonNull(sender, "sender");
    }
}
