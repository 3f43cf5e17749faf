package org.oleanderspring.bench.command;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.Random;
import org.oleanderspring.core.fleet.Checkpoint;
import org.oleanderspring.core.fleet.ModelName;

/**
 * The size of a deployment for which cold starts are simulated.
 *
 * @param name the name in the output table
 * @param runners the number of runners, each on a VM of its own
 * @param models the number of models
 * @param adapters the number of adapters
 * @param daemons the number of daemons
 * @param loadsPerSecond the model loads per second that the weight store allows
 */
record ColdStartDeployment(
        String name, int runners, int models, int adapters, int daemons, int loadsPerSecond) {
    /** The accelerator memory of one runner's VM. */
    static final long VM_MEGABYTES = 80_000;

    /** The number of models that have adapters. */
    private static final int BASE_MODELS = 10;

    private static final int MIN_MODEL_MEGABYTES = 8_000;
    private static final int MODEL_MEGABYTES_RANGE = 32_000;
    private static final int MIN_ADAPTER_MEGABYTES = 50;
    private static final int ADAPTER_MEGABYTES_RANGE = 350;

    /** Rejects a null name. */
    ColdStartDeployment {
        Objects.requireNonNull(name, "name");
    }

    /** Returns the two deployments for which the system is designed. */
    static List<ColdStartDeployment> all() {
        return List.of(
                new ColdStartDeployment("quabbin", 13, 100, 100, 5, 7),
                new ColdStartDeployment("cypress", 13, 100, 95, 4, 6));
    }

    /** Returns the catalogue, with memory sizes drawn at random from the seed. */
    List<Checkpoint> catalogue(long seed) {
        Random random = new Random(seed);
        List<Checkpoint> catalogue = new ArrayList<>();
        for (int i = 0; i < models; i++) {
            long size = MIN_MODEL_MEGABYTES + random.nextInt(MODEL_MEGABYTES_RANGE);
            catalogue.add(new Checkpoint(new ModelName("model-" + i), null, "1", size));
        }
        for (int i = 0; i < adapters; i++) {
            ModelName base = new ModelName("model-" + i % BASE_MODELS);
            long size = MIN_ADAPTER_MEGABYTES + random.nextInt(ADAPTER_MEGABYTES_RANGE);
            catalogue.add(new Checkpoint(new ModelName("adapter-" + i), base, "1", size));
        }
        return catalogue;
    }
}
