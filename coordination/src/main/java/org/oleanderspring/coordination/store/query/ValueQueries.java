package org.oleanderspring.coordination.store.query;

import java.util.concurrent.CompletableFuture;
import org.oleanderspring.coordination.store.StoreKey;

/**
 * Reads single values. The returned futures never complete exceptionally; every failure is reported
 * as a result.
 */
public interface ValueQueries {
    /**
     * Reads one key.
     *
     * @param key the key
     * @return a {@link ReadResult.Found} with one value, or with none if the key does not exist; or
     *     a failure
     */
    CompletableFuture<ReadResult> read(StoreKey key);
}
