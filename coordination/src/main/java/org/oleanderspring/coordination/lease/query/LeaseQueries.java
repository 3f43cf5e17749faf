package org.oleanderspring.coordination.lease.query;

import java.time.Instant;
import java.util.List;
import org.oleanderspring.coordination.lease.FencingToken;
import org.oleanderspring.coordination.lease.LeaseName;

/** Read access to the leases of one daemon; must be called on the thread that owns the decider. */
public interface LeaseQueries {
    /**
     * Returns the time until which a holder that has not seen the present era may act. Its lease
     * was acknowledged before the key-value service came back, and ends by its own clock one time
     * to live, less the safety margin, after that at the latest.
     *
     * @return the time, or {@link Instant#MIN} if the service names no era
     */
    Instant earlierHoldersUntil();

    /**
     * Returns whether a lease is held now. An expired lease is not held, even if no event has been
     * handled since it expired.
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
     * Returns the fencing token of a held lease, or {@link FencingToken#NONE} if it is not held.
     * The token is the revision at which the key was written. The key-value service's revisions
     * only increase, so every later holder has a higher token.
     *
     * @param name the lease
     */
    FencingToken token(LeaseName name);
}
