package org.oleanderspring.core.route;

import java.time.Duration;
import java.util.Objects;
import org.oleanderspring.core.fleet.ModelName;

/**
 * A model that the engines of a service can load.
 *
 * @param name the name of the model
 * @param weightMegabytes the size of its weights
 * @param storeLoad the duration of a load from the weight store
 * @param diskLoad the duration of a load from the disk of the runner's VM
 * @param memoryLoad the duration of a load from the main memory of the runner's VM
 * @param adapters the number of adapters of the model; they are named a1, a2 and so on
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
    /** Rejects null durations and negative values. */
    public EngineModel {
        Objects.requireNonNull(name, "name");
        Objects.requireNonNull(storeLoad, "storeLoad");
        Objects.requireNonNull(diskLoad, "diskLoad");
        Objects.requireNonNull(memoryLoad, "memoryLoad");
        if (weightMegabytes < 0 || adapters < 0 || adapterMegabytes < 0) {
            throw new IllegalArgumentException(
                    "model "
                            + name
                            + " is out of range: weights "
                            + weightMegabytes
                            + " MB, "
                            + adapters
                            + " adapters of "
                            + adapterMegabytes
                            + " MB; allowed: at least 0 each");
        }
    }
}
