package org.oleanderspring.coordination.dispatch;

import java.util.Objects;
import org.oleanderspring.coordination.store.StoreKey;

/**
 * The keys of dispatch records.
 *
 * @param prefix the key below which all partitions are
 */
public record DispatchKeyLayout(StoreKey prefix) {
    /** Checks for a missing prefix. */
    public DispatchKeyLayout {
        Objects.requireNonNull(prefix, "prefix");
    }

    /**
     * Returns the key of a partition's active value.
     *
     * @param partition the partition
     */
    public StoreKey active(PartitionId partition) {
        return new StoreKey(prefix + "/" + partition + "/active");
    }

    /**
     * Returns the key of a sealed value.
     *
     * @param partition the partition
     * @param slot the slot of the segment
     */
    public StoreKey sealed(PartitionId partition, int slot) {
        return new StoreKey(prefix + "/" + partition + "/sealed/" + slot);
    }
}
