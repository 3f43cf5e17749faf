package org.oleanderspring.coordination.store.query;

import org.oleanderspring.coordination.store.StoreKey;
import org.oleanderspring.coordination.store.StoredValue;

/** Receives the changes of a watch, in order. */
public interface WatchListener {
    /**
     * A key was written.
     *
     * @param value the new value
     */
    void written(StoredValue value);

    /**
     * A key was removed.
     *
     * @param key the key
     */
    void removed(StoreKey key);

    /**
     * The watch ended without being closed; changes may have been missed, so read again.
     *
     * @param reason why, for the log
     */
    void failed(String reason);
}
