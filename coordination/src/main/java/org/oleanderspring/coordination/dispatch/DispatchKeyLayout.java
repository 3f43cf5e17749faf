package org.oleanderspring.coordination.dispatch;

import java.util.Objects;
import org.oleanderspring.coordination.store.StoreKey;

/**
 * The layout of the keys that store dispatch records.
 *
 * @param prefix the key prefix of all partitions, without a slash at its end
 */
public record DispatchKeyLayout(StoreKey prefix) {
    /** Rejects a null prefix. */
    public DispatchKeyLayout {
        Objects.requireNonNull(prefix, "prefix");
    }

    /**
     * Returns the key of a partition's {@link ActiveValue}.
     *
     * @param partition the partition
     */
    public StoreKey active(PartitionId partition) {
        return new StoreKey(prefix + "/" + partition + "/active");
    }

    /**
     * Returns the key of a {@link SealedValue}.
     *
     * @param partition the partition
     * @param slot the slot of the segment; see {@link SealedSegment}
     */
    public StoreKey sealed(PartitionId partition, int slot) {
        return new StoreKey(prefix + "/" + partition + "/sealed/" + slot);
    }
}
