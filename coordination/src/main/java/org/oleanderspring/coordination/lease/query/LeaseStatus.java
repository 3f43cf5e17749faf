package org.oleanderspring.coordination.lease.query;

import java.util.Objects;
import org.oleanderspring.coordination.lease.LeaseName;

/**
 * The state of one lease as seen by a daemon that competes for it.
 *
 * @param name the lease
 * @param rank the daemon's rank among the candidates
 * @param held whether the daemon holds the lease
 */
public record LeaseStatus(LeaseName name, int rank, boolean held) {
    /** Rejects a null name. */
    public LeaseStatus {
        Objects.requireNonNull(name, "name");
    }
}
