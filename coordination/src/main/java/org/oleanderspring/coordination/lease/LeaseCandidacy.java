package org.oleanderspring.coordination.lease;

import java.util.Objects;

/**
 * A lease that a daemon competes for.
 *
 * @param name the lease
 * @param rank the daemon's position among the candidates, 0 for the preferred one; a candidate with
 *     a higher rank waits longer before it acquires a free lease
 */
public record LeaseCandidacy(LeaseName name, int rank) {
    /** Rejects a null name and a negative rank. */
    public LeaseCandidacy {
        Objects.requireNonNull(name, "name");
        if (rank < 0) {
            throw new IllegalArgumentException("rank is negative: " + rank);
        }
    }
}
