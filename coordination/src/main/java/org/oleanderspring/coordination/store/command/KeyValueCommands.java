package org.oleanderspring.coordination.store.command;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import org.oleanderspring.coordination.store.StoreLeaseId;

/**
 * Changes the key-value service.
 *
 * <p>Futures never complete exceptionally; every failure is a result. They complete on a thread of
 * the adapter, so a caller hands the result on to its own duty.
 */
public interface KeyValueCommands {
    /**
     * Writes a value if its key has the expected revision.
     *
     * @param command what to write
     * @return the outcome
     */
    CompletableFuture<WriteResult> compareAndSwap(CompareAndSwap command);

    /**
     * Asks for a new lease.
     *
     * @param timeToLive how long the lease is held without renewal
     * @return the outcome
     */
    CompletableFuture<StoreLeaseResult> grantLease(Duration timeToLive);

    /**
     * Renews a lease for its time to live.
     *
     * @param lease the lease
     * @return the outcome
     */
    CompletableFuture<StoreLeaseResult> renewLease(StoreLeaseId lease);

    /**
     * Gives up a lease; keys bound to it are removed.
     *
     * @param lease the lease
     * @return the outcome; {@link StoreLeaseResult.Lapsed} on success
     */
    CompletableFuture<StoreLeaseResult> revokeLease(StoreLeaseId lease);
}
