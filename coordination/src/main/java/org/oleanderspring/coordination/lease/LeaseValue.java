package org.oleanderspring.coordination.lease;

import java.util.Objects;
import org.jspecify.annotations.Nullable;
import org.oleanderspring.coordination.membership.MemberId;
import org.oleanderspring.coordination.store.StoreEra;
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
 * @param era the era that the writer knew; a service that came back from a copy may show the value
 *     of an earlier one
 */
public record LeaseValue(
        MemberId writer,
        StoreLeaseId serviceLease,
        long writeNumber,
        @Nullable String handover,
        StoreEra era) {
    /** Rejects a null writer or service lease, and handover data of a lease that is held. */
    public LeaseValue {
        Objects.requireNonNull(writer, "writer");
        Objects.requireNonNull(serviceLease, "serviceLease");
        Objects.requireNonNull(era, "era");
        if (handover != null && !serviceLease.equals(StoreLeaseId.NONE)) {
            throw new IllegalArgumentException(
                    "a lease that is held must not have handover data: " + handover);
        }
    }

    /**
     * Creates a value for a service that names no era.
     *
     * @param writer the daemon run that wrote the key
     * @param serviceLease the service lease that the key is bound to
     * @param writeNumber the number of this write
     * @param handover data that a holder passes to the next holder, or null
     */
    public LeaseValue(
            MemberId writer,
            StoreLeaseId serviceLease,
            long writeNumber,
            @Nullable String handover) {
        this(writer, serviceLease, writeNumber, handover, StoreEra.UNKNOWN);
    }

    /**
     * Returns the handover data if the value was written in an era; the data of an earlier era does
     * not cover what later holders did whose writes the service has lost.
     *
     * @param current the era
     */
    public @Nullable String handoverIn(StoreEra current) {
        return era.equals(current) ? handover : null;
    }

    /** Returns whether the writer released the lease. */
    public boolean isReleased() {
        return serviceLease.equals(StoreLeaseId.NONE);
    }
}
