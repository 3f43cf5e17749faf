package org.oleanderspring.core.residency.command;

import java.util.List;
import org.oleanderspring.core.fleet.ModelName;

/**
 * The models that make way for a load.
 *
 * @param victims the models to unload
 * @param cost what their absence is expected to cost, in seconds of waiting
 */
record EvictionChoice(List<ModelName> victims, double cost) {
    EvictionChoice {
        victims = List.copyOf(victims);
    }
}
