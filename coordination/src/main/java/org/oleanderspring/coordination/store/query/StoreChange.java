package org.oleanderspring.coordination.store.query;

import java.util.Objects;
import org.oleanderspring.coordination.store.StoreKey;
import org.oleanderspring.coordination.store.StoredValue;

/** One change of a key. */
public sealed interface StoreChange {
    /**
     * A key was written.
     *
     * @param value the new value
     */
    record Written(StoredValue value) implements StoreChange {
        /** Rejects a null value. */
        public Written {
            Objects.requireNonNull(value, "value");
        }
    }

    /**
     * A key was removed.
     *
     * @param key the key
     */
    record Removed(StoreKey key) implements StoreChange {
        /** Rejects a null key. */
        public Removed {
            Objects.requireNonNull(key, "key");
        }
    }
}
