package org.oleanderspring.coordination.store.query;

import org.oleanderspring.coordination.store.StoreKey;

/** Follows the values below a prefix for as long as the program runs. */
public interface PrefixQueries {
    /**
     * Reads all values below a prefix and reports every change, over interruptions.
     *
     * @param prefix the prefix
     * @param listener called on a thread of the adapter; must not block
     * @return sets the pace of the watch, and ends it when closed
     */
    PacedWatch follow(StoreKey prefix, PrefixListener listener);
}
