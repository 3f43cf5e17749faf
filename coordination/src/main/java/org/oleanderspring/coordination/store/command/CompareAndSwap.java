package org.oleanderspring.coordination.store.command;

import java.util.Objects;
import org.oleanderspring.coordination.store.Revision;
import org.oleanderspring.coordination.store.StoreKey;
import org.oleanderspring.coordination.store.StoreLeaseId;
import org.oleanderspring.coordination.store.StoredValue;

/**
 * A command to write a value if the key still has the expected revision.
 *
 * @param key the key
 * @param expected the revision that the key must have; {@link Revision#ABSENT} to create it
 * @param bytes the new value; at most {@link StoredValue#LIMIT_BYTES}
 * @param lease the lease that the key is bound to, or {@link StoreLeaseId#NONE}
 */
public record CompareAndSwap(StoreKey key, Revision expected, byte[] bytes, StoreLeaseId lease) {
    /** Rejects null components and a value longer than {@link StoredValue#LIMIT_BYTES}. */
    public CompareAndSwap {
        Objects.requireNonNull(key, "key");
        Objects.requireNonNull(expected, "expected");
        Objects.requireNonNull(bytes, "bytes");
        Objects.requireNonNull(lease, "lease");
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
}
