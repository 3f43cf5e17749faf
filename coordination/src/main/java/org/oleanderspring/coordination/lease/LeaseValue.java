package org.oleanderspring.coordination.lease;

import java.util.Objects;
import org.jspecify.annotations.Nullable;
import org.oleanderspring.coordination.membership.MemberId;
import org.oleanderspring.coordination.store.StoreLeaseId;

/**
 * The content of a lease's key: who wrote it and whether the writer holds or frees the lease.
 *
 * @param writer the daemon run that wrote the key
 * @param serviceLease the service lease that the key is bound to; {@link StoreLeaseId#NONE} if the
 *     writer freed the lease
 * @param writeNumber the writer's number of this write
 * @param handover what a holder that gave the lease up tells the next one, or null if it says
 *     nothing
 */
public record LeaseValue(
        MemberId writer, StoreLeaseId serviceLease, long writeNumber, @Nullable String handover) {
    /** Checks for missing parts. */
    public LeaseValue {
        Objects.requireNonNull(writer, "writer");
        Objects.requireNonNull(serviceLease, "serviceLease");
        if (handover != null && !serviceLease.equals(StoreLeaseId.NONE)) {
            throw new IllegalArgumentException("a lease that is held has no handover");
        }
    }

    /** Returns whether the writer gave the lease up. */
    public boolean isFree() {
        return serviceLease.equals(StoreLeaseId.NONE);
    }
}
