package org.oleanderspring.core.residency.command;

import java.util.List;
import org.oleanderspring.core.fleet.ModelName;

/**
 * The models to unload so that a load fits on a runner.
 *
 * @param victims the models to unload
 * @param cost the expected cost of unloading them, in seconds of waiting time; each call expected
 *     to arrive at the replica during a reload counts as one second, or more for a last replica
 */
record EvictionPlan(List<ModelName> victims, double cost) {
    EvictionPlan {
        victims = List.copyOf(victims);
    }
}
