package org.oleanderspring.coordination.dispatch.query;

import java.util.List;

/** Reads the dispatch records of one daemon; to be called on the thread that owns them. */
public interface DispatchQueries {
    /** Returns the partitions that the daemon should own, ordered by number. */
    List<PartitionStatus> partitions();

    /** Returns how many claims wait at the daemon. */
    int waitingClaims();
}
