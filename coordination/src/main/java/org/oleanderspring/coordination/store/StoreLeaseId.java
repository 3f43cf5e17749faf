package org.oleanderspring.coordination.store;

/**
 * The identity of a lease that the key-value service granted.
 *
 * @param value the number assigned by the service; 0 means no lease
 */
public record StoreLeaseId(long value) {
    /** No lease; used for a write that is not bound to a lease. */
    public static final StoreLeaseId NONE = new StoreLeaseId(0);
}
