package org.oleanderspring.coordination.store.query;

import org.oleanderspring.coordination.store.StoreKey;
import org.oleanderspring.coordination.store.StoredValue;

/** Receives the changes of a watch, in order. */
public interface WatchListener {
    /**
     * Called when a key was written.
     *
     * @param value the new value
     */
    void written(StoredValue value);

    /**
     * Called when a key was removed.
     *
     * @param key the key
     */
    void removed(StoreKey key);

    /**
     * Called when the watch ended without being closed. Changes may have been missed, so the values
     * have to be read again.
     *
     * @param reason the cause, for log messages
     */
    void failed(String reason);
}
