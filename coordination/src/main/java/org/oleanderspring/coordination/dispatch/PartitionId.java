package org.oleanderspring.coordination.dispatch;

/**
 * Identifies a partition: a group of dispatch records that has one owner at a time.
 *
 * @param value the number, at least 0
 */
public record PartitionId(int value) implements Comparable<PartitionId> {
    /** Rejects a negative number. */
    public PartitionId {
        if (value < 0) {
            throw new IllegalArgumentException("partition number is negative: " + value);
        }
    }

    /**
     * Returns the partition that a key belongs to.
     *
     * @param key the hash of the idempotency key
     * @param partitionCount the number of partitions
     */
    public static PartitionId of(KeyHash key, int partitionCount) {
        return new PartitionId((int) Long.remainderUnsigned(key.high(), partitionCount));
    }

    @Override
    public int compareTo(PartitionId other) {
        return Integer.compare(value, other.value);
    }

    @Override
    public String toString() {
        return Integer.toString(value);
    }
}
