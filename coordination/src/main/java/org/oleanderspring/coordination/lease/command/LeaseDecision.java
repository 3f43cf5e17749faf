package org.oleanderspring.coordination.lease.command;

import java.time.Duration;
import org.jspecify.annotations.Nullable;
import org.oleanderspring.coordination.lease.LeaseLossReason;
import org.oleanderspring.coordination.lease.LeaseName;
import org.oleanderspring.coordination.store.StoreKey;
import org.oleanderspring.coordination.store.StoreLeaseId;
import org.oleanderspring.coordination.store.StoreOperationId;
import org.oleanderspring.coordination.store.command.CompareAndSwap;

/** What was decided about leases; the daemon carries it out. */
public sealed interface LeaseDecision {
    /**
     * Ask the key-value service for the daemon's service lease.
     *
     * @param operation connects the reply
     * @param timeToLive how long the lease is held without renewal
     */
    record GrantServiceLease(StoreOperationId operation, Duration timeToLive)
            implements LeaseDecision {}

    /**
     * Renew the service lease.
     *
     * @param operation connects the reply
     * @param lease the service lease
     */
    record RenewServiceLease(StoreOperationId operation, StoreLeaseId lease)
            implements LeaseDecision {}

    /**
     * Give up the service lease with all keys bound to it.
     *
     * @param operation connects the reply
     * @param lease the service lease
     */
    record RevokeServiceLease(StoreOperationId operation, StoreLeaseId lease)
            implements LeaseDecision {}

    /**
     * Write the key of a lease.
     *
     * @param operation connects the reply
     * @param command the write
     */
    record WriteKey(StoreOperationId operation, CompareAndSwap command) implements LeaseDecision {}

    /**
     * Read the key of a lease.
     *
     * @param operation connects the reply
     * @param key the key
     */
    record ReadKey(StoreOperationId operation, StoreKey key) implements LeaseDecision {}

    /**
     * The daemon holds a lease.
     *
     * @param name the lease
     * @param handover what the holder before told when it gave the lease up; null if it told
     *     nothing or did not give it up by itself
     */
    record LeaseAcquired(LeaseName name, @Nullable String handover) implements LeaseDecision {}

    /**
     * The daemon no longer holds a lease.
     *
     * @param name the lease
     * @param reason why
     */
    record LeaseLost(LeaseName name, LeaseLossReason reason) implements LeaseDecision {}

    /** After a stop request: nothing is held any more and the daemon may exit. */
    record AllLeasesReleased() implements LeaseDecision {}
}
