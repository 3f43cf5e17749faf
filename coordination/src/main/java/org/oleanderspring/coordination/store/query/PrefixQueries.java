package org.oleanderspring.coordination.store.query;

import org.oleanderspring.coordination.store.StoreKey;

/** Watches the values under a key prefix and resumes after interruptions. */
public interface PrefixQueries {
    /**
     * Reads all values under a prefix and then reports every change, across interruptions, until
     * closed.
     *
     * @param prefix the prefix
     * @param listener called on a thread of the adapter; must not block
     * @return the running watch; closing it ends the watch
     */
    PacedWatch follow(StoreKey prefix, PrefixListener listener);
}
