package org.oleanderspring.core.placement;

import java.util.Objects;
import org.oleanderspring.coordination.membership.MemberId;
import org.oleanderspring.core.fleet.VmId;

/**
 * The daemon that may have sent an order.
 *
 * @param member the daemon's member identifier
 * @param vm the VM on which the daemon runs
 */
public record OrderSender(MemberId member, VmId vm) {
    /** Rejects null components. */
    public OrderSender {
        Objects.requireNonNull(member, "member");
        Objects.requireNonNull(vm, "vm");
    }
}
