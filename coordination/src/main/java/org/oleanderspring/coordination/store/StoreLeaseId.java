package org.oleanderspring.coordination.store;

/**
 * The identity of a lease that the key-value service granted.
 *
 * @param value the service's number; 0 stands for no lease
 */
public record StoreLeaseId(long value) {
    /** Stands for a write that is not bound to a lease. */
    public static final StoreLeaseId NONE = new StoreLeaseId(0);
}
