package org.oleanderspring.coordination.lease.command;

import java.time.Duration;
import org.jspecify.annotations.Nullable;
import org.oleanderspring.coordination.lease.LeaseLossReason;
import org.oleanderspring.coordination.lease.LeaseName;
import org.oleanderspring.coordination.store.StoreKey;
import org.oleanderspring.coordination.store.StoreLeaseId;
import org.oleanderspring.coordination.store.StoreOperationId;
import org.oleanderspring.coordination.store.command.CompareAndSwap;

/** An action or notification of {@link LeaseDecider}; the daemon executes it. */
public sealed interface LeaseDecision {
    /**
     * Request the daemon's service lease from the key-value service.
     *
     * @param operation identifies the operation in its reply
     * @param timeToLive how long the service keeps the lease without renewal
     */
    record GrantServiceLease(StoreOperationId operation, Duration timeToLive)
            implements LeaseDecision {}

    /**
     * Renew the service lease.
     *
     * @param operation identifies the operation in its reply
     * @param lease the service lease
     */
    record RenewServiceLease(StoreOperationId operation, StoreLeaseId lease)
            implements LeaseDecision {}

    /**
     * Revoke the service lease, which removes all keys bound to it.
     *
     * @param operation identifies the operation in its reply
     * @param lease the service lease
     */
    record RevokeServiceLease(StoreOperationId operation, StoreLeaseId lease)
            implements LeaseDecision {}

    /**
     * Write the key of a lease.
     *
     * @param operation identifies the operation in its reply
     * @param command the write
     */
    record WriteKey(StoreOperationId operation, CompareAndSwap command) implements LeaseDecision {}

    /**
     * Read the key of a lease.
     *
     * @param operation identifies the operation in its reply
     * @param key the key
     */
    record ReadKey(StoreOperationId operation, StoreKey key) implements LeaseDecision {}

    /**
     * The daemon now holds a lease.
     *
     * @param name the lease
     * @param handover the handover data of the previous holder; null if it passed none or did not
     *     release the lease itself
     */
    record LeaseAcquired(LeaseName name, @Nullable String handover) implements LeaseDecision {}

    /**
     * The daemon no longer holds a lease.
     *
     * @param name the lease
     * @param reason why the lease was lost
     */
    record LeaseLost(LeaseName name, LeaseLossReason reason) implements LeaseDecision {}

    /**
     * Reported once after a stop request, when no lease is held any more and the daemon may exit.
     */
    record AllLeasesReleased() implements LeaseDecision {}
}
