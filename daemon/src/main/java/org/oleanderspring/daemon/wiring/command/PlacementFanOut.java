package org.oleanderspring.daemon.wiring.command;

import java.time.Instant;
import org.oleanderspring.coordination.store.Revision;
import org.oleanderspring.core.fleet.ModelName;
import org.oleanderspring.core.placement.Plan;
import org.oleanderspring.core.routing.Target;
import org.oleanderspring.core.routing.command.RoutingEvent;
import org.oleanderspring.daemon.document.command.DocumentInput;
import org.oleanderspring.daemon.placement.command.PlacementListener;
import org.oleanderspring.daemon.routing.command.RoutingInput;

/**
 * Forwards written plans to the document duty, and the estimated times at which models become ready
 * to the routing duty. Safe for use by several threads, since results of writes arrive on a thread
 * of the platform adapter.
 */
public final class PlacementFanOut implements PlacementListener {
    private final Rings mRings;

    /**
     * Creates a listener that writes to the document and routing rings only.
     *
     * @param rings the rings of all duties
     */
    public PlacementFanOut(Rings rings) {
        mRings = rings;
    }

    @Override
    public void planWritten(Plan plan, Revision revision) {
        mRings.document().offer(new DocumentInput.PlanWritten(plan, revision));
    }

    @Override
    public void readinessEstimated(ModelName model, Instant readyAt) {
        mRings.routing()
                .offer(
                        new RoutingInput.Event(
                                new RoutingEvent.ReadinessEstimated(
                                        new Target.ModelTarget(model), readyAt)));
    }
}
