package org.oleanderspring.bench.command;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.Random;
import org.oleanderspring.core.fleet.Checkpoint;
import org.oleanderspring.core.fleet.ModelName;

/**
 * The size of one user's deployment.
 *
 * @param name the name in the table
 * @param runners the runners, each on a VM of its own
 * @param models the models
 * @param adapters the adapters
 * @param daemons the daemons
 * @param loadsPerSecond the loads that the weight store allows in a second
 */
record ColdStartDeployment(
        String name, int runners, int models, int adapters, int daemons, int loadsPerSecond) {
    /** The accelerators' memory of one runner. */
    static final long VM_MEGABYTES = 80_000;

    /** The models that adapters extend. */
    private static final int BASES = 10;

    private static final int SMALLEST_MODEL = 8_000;
    private static final int MODEL_RANGE = 32_000;
    private static final int SMALLEST_ADAPTER = 50;
    private static final int ADAPTER_RANGE = 350;

    /** Checks for a missing name. */
    ColdStartDeployment {
        Objects.requireNonNull(name, "name");
    }

    /** Returns the two deployments of the design page. */
    static List<ColdStartDeployment> both() {
        return List.of(
                new ColdStartDeployment("quabbin", 13, 100, 100, 5, 7),
                new ColdStartDeployment("cypress", 13, 100, 95, 4, 6));
    }

    /** Returns the catalogue; the sizes follow from the seed. */
    List<Checkpoint> catalogue(long seed) {
        Random random = new Random(seed);
        List<Checkpoint> catalogue = new ArrayList<>();
        for (int i = 0; i < models; i++) {
            long size = SMALLEST_MODEL + random.nextInt(MODEL_RANGE);
            catalogue.add(new Checkpoint(new ModelName("model-" + i), null, "1", size));
        }
        for (int i = 0; i < adapters; i++) {
            ModelName base = new ModelName("model-" + i % BASES);
            long size = SMALLEST_ADAPTER + random.nextInt(ADAPTER_RANGE);
            catalogue.add(new Checkpoint(new ModelName("adapter-" + i), base, "1", size));
        }
        return catalogue;
    }
}
