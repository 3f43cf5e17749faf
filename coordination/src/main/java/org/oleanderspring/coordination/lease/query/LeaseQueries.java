package org.oleanderspring.coordination.lease.query;

import java.time.Instant;
import java.util.List;
import org.oleanderspring.coordination.lease.FencingToken;
import org.oleanderspring.coordination.lease.LeaseName;

/** Reads the leases of one daemon; to be called on the thread that owns them. */
public interface LeaseQueries {
    /**
     * Returns whether a lease is held now. A lease whose time has passed is not held, even if no
     * event was handled since.
     *
     * @param name the lease
     * @param now the current time
     */
    boolean holds(LeaseName name, Instant now);

    /**
     * Returns all leases that the daemon competes for, ordered by name.
     *
     * @param now the current time
     */
    List<LeaseStatus> leases(Instant now);

    /**
     * Returns the fencing token of a held lease: the revision at which its key was written. The
     * service's revisions only grow, so every later holder has a higher token.
     *
     * @param name the lease
     */
    FencingToken token(LeaseName name);
}
