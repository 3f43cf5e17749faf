package org.oleanderspring.core.route;

import java.util.Map;
import org.oleanderspring.core.fleet.ModelName;

/**
 * The properties shared by all model engines of a service.
 *
 * @param slots the number of requests that an engine runs at a time
 * @param tokenCapacity the number of tokens that fit into the KV cache of an engine
 * @param memoryMegabytes the memory of an engine for weights and adapters
 * @param adapterSlots the number of adapters that an engine can hold
 * @param loadsPerSecond the number of loads per second that the weight store permits for all
 *     engines together
 * @param models the models by name
 */
public record EngineDescription(
        int slots,
        long tokenCapacity,
        double memoryMegabytes,
        int adapterSlots,
        double loadsPerSecond,
        Map<ModelName, EngineModel> models) {
    /** Copies the models and rejects values out of range. */
    public EngineDescription {
        models = Map.copyOf(models);
        if (slots < 1 || memoryMegabytes < 0 || adapterSlots < 0 || loadsPerSecond < 0) {
            throw new IllegalArgumentException(
                    "engine is out of range: slots "
                            + slots
                            + ", memory "
                            + memoryMegabytes
                            + " MB, adapter slots "
                            + adapterSlots
                            + ", loads per second "
                            + loadsPerSecond
                            + "; allowed: at least 1 slot, the others at least 0");
        }
    }
}
