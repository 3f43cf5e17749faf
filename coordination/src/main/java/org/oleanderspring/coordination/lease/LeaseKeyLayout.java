package org.oleanderspring.coordination.lease;

import org.oleanderspring.coordination.store.StoreKey;

/** Maps a lease name to its key in the key-value service. */
@FunctionalInterface
public interface LeaseKeyLayout {
    /**
     * Returns the key of a lease.
     *
     * @param name the lease
     */
    StoreKey keyOf(LeaseName name);
}
