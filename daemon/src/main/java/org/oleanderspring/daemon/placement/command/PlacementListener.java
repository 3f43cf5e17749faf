package org.oleanderspring.daemon.placement.command;

import java.time.Instant;
import org.oleanderspring.coordination.store.Revision;
import org.oleanderspring.core.fleet.ModelName;
import org.oleanderspring.core.placement.Plan;

/** Is told of the results of placement, on the placement thread. */
public interface PlacementListener {
    /**
     * This daemon wrote a plan.
     *
     * @param plan the plan
     * @param revision the revision of its key
     */
    void planWritten(Plan plan, Revision revision);

    /**
     * A model that calls of this daemon wait for becomes ready.
     *
     * @param model the model or adapter
     * @param readyAt when
     */
    void readinessEstimated(ModelName model, Instant readyAt);
}
