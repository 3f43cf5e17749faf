package org.oleanderspring.core.route;

import java.util.Map;
import org.oleanderspring.core.fleet.ModelName;

/**
 * What all model engines of a service have in common.
 *
 * @param slots how many requests an engine runs at once
 * @param tokenCapacity for how many tokens an engine has memory
 * @param memoryMegabytes the memory of an engine for weights and adapters
 * @param adapterSlots how many adapters an engine can hold
 * @param loadsPerSecond so many loads a second the weight store allows over all engines
 * @param models the models by name
 */
public record EngineDescription(
        int slots,
        long tokenCapacity,
        double memoryMegabytes,
        int adapterSlots,
        double loadsPerSecond,
        Map<ModelName, EngineModel> models) {
    /** Copies the models. */
    public EngineDescription {
        models = Map.copyOf(models);
        if (slots < 1 || memoryMegabytes < 0 || adapterSlots < 0 || loadsPerSecond < 0) {
            throw new IllegalArgumentException("engine is out of range");
        }
    }
}
