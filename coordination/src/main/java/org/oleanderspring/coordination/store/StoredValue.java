package org.oleanderspring.coordination.store;

import java.util.Objects;

/**
 * A value read from the key-value service.
 *
 * @param key the key
 * @param bytes the value; not copied, must not be modified
 * @param revision the revision at which it was written
 */
public record StoredValue(StoreKey key, byte[] bytes, Revision revision) {
    /** The largest size of a value in the key-value service, in bytes. */
    public static final int LIMIT_BYTES = 1 << 20;

    /** Rejects null components. */
    public StoredValue {
        Objects.requireNonNull(key, "key");
        Objects.requireNonNull(bytes, "bytes");
        Objects.requireNonNull(revision, "revision");
    }
}
