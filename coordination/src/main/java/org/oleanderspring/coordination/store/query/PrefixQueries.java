package org.oleanderspring.coordination.store.query;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import org.jspecify.annotations.Nullable;
import org.oleanderspring.coordination.store.Revision;
import org.oleanderspring.coordination.store.StoreKey;

/**
 * Reads the values under a prefix and polls for their changes. The returned futures never complete
 * exceptionally; every failure is reported as a result.
 */
public interface PrefixQueries {
    /**
     * Reads one page of the values under a prefix.
     *
     * @param prefix the prefix
     * @param after the last key of the previous page, or null for the first page
     * @param limit how long to wait for the answer
     */
    CompletableFuture<PageResult> readPage(
            StoreKey prefix, @Nullable StoreKey after, Duration limit);

    /**
     * Polls for changes. The service delays its answer until there is a change.
     *
     * @param prefix the prefix
     * @param after the revision after which changes are reported
     * @param longestWait how long the service may delay its answer if there is no change
     * @param limit how long to wait for the answer, including {@code longestWait}
     */
    CompletableFuture<ChangesResult> poll(
            StoreKey prefix, Revision after, Duration longestWait, Duration limit);
}
