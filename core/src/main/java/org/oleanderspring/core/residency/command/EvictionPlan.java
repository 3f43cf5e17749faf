package org.oleanderspring.core.residency.command;

import java.util.List;
import org.oleanderspring.core.fleet.ModelName;

/**
 * The models to unload so that a load fits on a runner.
 *
 * @param victims the models to unload
 * @param cost the expected cost of unloading them, in seconds of waiting time
 */
record EvictionPlan(List<ModelName> victims, double cost) {
    EvictionPlan {
        victims = List.copyOf(victims);
    }
}
