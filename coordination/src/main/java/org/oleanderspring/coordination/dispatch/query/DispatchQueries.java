package org.oleanderspring.coordination.dispatch.query;

import java.util.List;

/**
 * Read access to the dispatch records of one daemon; must be called on the thread that owns the
 * decider.
 */
public interface DispatchQueries {
    /** Returns the partitions that the daemon should own, ordered by number. */
    List<PartitionStatus> partitions();

    /** Returns the number of claims that wait at the daemon. */
    int waitingClaims();
}
