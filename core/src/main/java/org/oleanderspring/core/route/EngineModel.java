package org.oleanderspring.core.route;

import java.time.Duration;
import java.util.Objects;
import org.oleanderspring.core.fleet.ModelName;

/**
 * A model that the engines of a service can load.
 *
 * @param name the name
 * @param weightMegabytes the size of its weights
 * @param storeLoad how long a load from the weight store takes
 * @param diskLoad how long a load from the runner's disk takes
 * @param memoryLoad how long a load from the runner's memory takes
 * @param adapters how many adapters it has; they are named a1, a2 and so on
 * @param adapterMegabytes the size of one adapter
 */
public record EngineModel(
        ModelName name,
        double weightMegabytes,
        Duration storeLoad,
        Duration diskLoad,
        Duration memoryLoad,
        int adapters,
        double adapterMegabytes) {
    /** Checks the ranges. */
    public EngineModel {
        Objects.requireNonNull(name, "name");
        Objects.requireNonNull(storeLoad, "storeLoad");
        Objects.requireNonNull(diskLoad, "diskLoad");
        Objects.requireNonNull(memoryLoad, "memoryLoad");
        if (weightMegabytes < 0 || adapters < 0 || adapterMegabytes < 0) {
            throw new IllegalArgumentException("model " + name + " is out of range");
        }
    }
}
