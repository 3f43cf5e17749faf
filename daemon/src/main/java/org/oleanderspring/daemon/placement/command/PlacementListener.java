package org.oleanderspring.daemon.placement.command;

import java.time.Instant;
import org.oleanderspring.coordination.store.Revision;
import org.oleanderspring.core.fleet.ModelName;
import org.oleanderspring.core.placement.Plan;

/** Receives the results of the placement duty; each method states its thread. */
public interface PlacementListener {
    /**
     * Called after the key-value service accepted a plan of this daemon, on a thread of the
     * platform adapter. Must not block.
     *
     * @param plan the plan
     * @param revision the new revision of the plan's key
     */
    void planWritten(Plan plan, Revision revision);

    /**
     * Called when the time at which a requested model becomes ready was estimated, on the placement
     * thread.
     *
     * @param model the model or adapter
     * @param readyAt the estimated time, on this daemon's clock
     */
    void readinessEstimated(ModelName model, Instant readyAt);
}
