package org.oleanderspring.coordination.store.command;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import org.oleanderspring.coordination.store.StoreLeaseId;

/**
 * Operations that change the key-value service.
 *
 * <p>The returned futures never complete exceptionally; every failure is reported as a result. They
 * complete on a thread of the adapter, so callers must pass the result on to their own thread.
 */
public interface KeyValueCommands {
    /**
     * Writes a value if its key has the expected revision.
     *
     * @param command the key, the expected revision and the new value
     * @return the outcome
     */
    CompletableFuture<WriteResult> compareAndSwap(CompareAndSwap command);

    /**
     * Grants a new lease.
     *
     * @param timeToLive how long the key-value service keeps the lease without renewal
     * @return the outcome
     */
    CompletableFuture<StoreLeaseResult> grantLease(Duration timeToLive);

    /**
     * Renews a lease for another time to live.
     *
     * @param lease the lease
     * @return the outcome
     */
    CompletableFuture<StoreLeaseResult> renewLease(StoreLeaseId lease);

    /**
     * Revokes a lease; keys bound to it are removed.
     *
     * @param lease the lease
     * @return the outcome; {@link StoreLeaseResult.Lapsed} on success
     */
    CompletableFuture<StoreLeaseResult> revokeLease(StoreLeaseId lease);
}
