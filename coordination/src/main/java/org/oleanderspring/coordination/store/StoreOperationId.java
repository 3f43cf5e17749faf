package org.oleanderspring.coordination.store;

/**
 * Correlates an operation on the key-value service with its reply.
 *
 * @param value the number, unique within one decider
 */
public record StoreOperationId(long value) {
    @Override
    public String toString() {
        return Long.toString(value);
    }
}
