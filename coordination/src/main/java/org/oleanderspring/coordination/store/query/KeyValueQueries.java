package org.oleanderspring.coordination.store.query;

import java.util.concurrent.CompletableFuture;
import org.oleanderspring.coordination.store.StoreKey;

/**
 * Operations that read the key-value service. The returned futures never complete exceptionally;
 * every failure is reported as a result.
 */
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
     * @return the running watch; closing it ends the watch
     */
    WatchSubscription watch(StoreKey prefix, WatchListener listener);
}
