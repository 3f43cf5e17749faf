package org.oleanderspring.coordination.store.query;

import java.util.concurrent.CompletableFuture;
import org.oleanderspring.coordination.store.StoreKey;

/** Reads the key-value service. Futures never complete exceptionally; every failure is a result. */
public interface KeyValueQueries extends ValueQueries {
    /**
     * Reads all keys with a prefix.
     *
     * @param prefix the prefix
     * @return the values in the order of their keys
     */
    CompletableFuture<ReadResult> readPrefix(StoreKey prefix);

    /**
     * Watches all keys with a prefix until the subscription is closed or fails.
     *
     * @param prefix the prefix
     * @param listener called on a thread of the adapter
     * @return ends the watch when closed
     */
    WatchSubscription watch(StoreKey prefix, WatchListener listener);
}
