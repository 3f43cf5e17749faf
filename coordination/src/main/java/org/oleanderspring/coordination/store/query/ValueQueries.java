package org.oleanderspring.coordination.store.query;

import java.util.concurrent.CompletableFuture;
import org.oleanderspring.coordination.store.StoreKey;

/** Reads single values. Futures never complete exceptionally; every failure is a result. */
public interface ValueQueries {
    /**
     * Reads one key.
     *
     * @param key the key
     * @return a list of no or one value
     */
    CompletableFuture<ReadResult> read(StoreKey key);
}
