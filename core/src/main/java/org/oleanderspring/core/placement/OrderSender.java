package org.oleanderspring.core.placement;

import java.util.Objects;
import org.oleanderspring.coordination.membership.MemberId;
import org.oleanderspring.core.fleet.VmId;

/**
 * The daemon that may have sent an order, with the VM on which it runs.
 *
 * @param member the daemon
 * @param vm its VM
 */
public record OrderSender(MemberId member, VmId vm) {
    /** Checks for missing parts. */
    public OrderSender {
        Objects.requireNonNull(member, "member");
        Objects.requireNonNull(vm, "vm");
    }
}
