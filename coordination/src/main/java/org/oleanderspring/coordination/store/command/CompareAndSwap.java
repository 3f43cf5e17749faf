package org.oleanderspring.coordination.store.command;

import java.util.Objects;
import org.oleanderspring.coordination.store.Revision;
import org.oleanderspring.coordination.store.StoreEra;
import org.oleanderspring.coordination.store.StoreKey;
import org.oleanderspring.coordination.store.StoreLeaseId;
import org.oleanderspring.coordination.store.StoredValue;

/**
 * A command to write a value if the key still has the expected revision.
 *
 * <p>The service compares the number of a revision only. A write that was decided in one era and
 * arrives in a later one could therefore replace a value that was written at a number given out
 * again. The adapter of a service that names its era makes such a write fail; see {@code
 * docs/design/store-recovery.md}.
 *
 * @param key the key
 * @param expected the revision that the key must have; {@link Revision#ABSENT} to create it
 * @param bytes the new value; at most {@link StoredValue#LIMIT_BYTES}
 * @param lease the lease that the key is bound to, or {@link StoreLeaseId#NONE}
 * @param era the era that the writer knows, in which {@code expected} was read
 */
public record CompareAndSwap(
        StoreKey key, Revision expected, byte[] bytes, StoreLeaseId lease, StoreEra era) {
    /** Rejects null components and a value longer than {@link StoredValue#LIMIT_BYTES}. */
    public CompareAndSwap {
        Objects.requireNonNull(key, "key");
        Objects.requireNonNull(expected, "expected");
        Objects.requireNonNull(bytes, "bytes");
        Objects.requireNonNull(lease, "lease");
        Objects.requireNonNull(era, "era");
        if (!expected.equals(Revision.ABSENT) && !expected.era().equals(era)) {
            throw new IllegalArgumentException(
                    "revision of era " + expected.era() + " is compared in era " + era);
        }
        if (bytes.length > StoredValue.LIMIT_BYTES) {
            throw new IllegalArgumentException(
                    "value of "
                            + key
                            + " has "
                            + bytes.length
                            + " bytes; at most "
                            + StoredValue.LIMIT_BYTES
                            + " are allowed");
        }
    }

    /**
     * Creates a command in the era of the expected revision.
     *
     * @param key the key
     * @param expected the revision that the key must have
     * @param bytes the new value
     * @param lease the lease that the key is bound to
     */
    public CompareAndSwap(StoreKey key, Revision expected, byte[] bytes, StoreLeaseId lease) {
        this(key, expected, bytes, lease, expected.era());
    }
}
