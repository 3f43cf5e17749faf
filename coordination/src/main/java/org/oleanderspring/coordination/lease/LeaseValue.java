package org.oleanderspring.coordination.lease;

import java.util.Objects;
import org.jspecify.annotations.Nullable;
import org.oleanderspring.coordination.membership.MemberId;
import org.oleanderspring.coordination.store.StoreLeaseId;

/**
 * The value stored under a lease's key: the writer, and whether the writer holds or has released
 * the lease.
 *
 * @param writer the daemon run that wrote the key
 * @param serviceLease the service lease that the key is bound to; {@link StoreLeaseId#NONE} if the
 *     writer released the lease
 * @param writeNumber the number of this write; unique among the writes of one daemon run
 * @param handover data that a holder passes to the next holder when it releases the lease, or null
 */
public record LeaseValue(
        MemberId writer, StoreLeaseId serviceLease, long writeNumber, @Nullable String handover) {
    /** Rejects a null writer or service lease, and handover data of a lease that is held. */
    public LeaseValue {
        Objects.requireNonNull(writer, "writer");
        Objects.requireNonNull(serviceLease, "serviceLease");
        if (handover != null && !serviceLease.equals(StoreLeaseId.NONE)) {
            throw new IllegalArgumentException(
                    "a lease that is held must not have handover data: " + handover);
        }
    }

    /** Returns whether the writer released the lease. */
    public boolean isReleased() {
        return serviceLease.equals(StoreLeaseId.NONE);
    }
}
