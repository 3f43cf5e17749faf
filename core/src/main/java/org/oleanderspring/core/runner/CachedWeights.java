package org.oleanderspring.core.runner;

import java.util.Set;
import org.oleanderspring.core.fleet.ModelName;

/**
 * The models whose weights are cached on the VM of a runner, so that a load does not need the
 * weight store.
 *
 * @param inMemory the models cached in the main memory
 * @param onDisk the models cached on the local disk
 */
public record CachedWeights(Set<ModelName> inMemory, Set<ModelName> onDisk) {
    /** No cached weights. */
    public static final CachedWeights NONE = new CachedWeights(Set.of(), Set.of());

    /** Copies the sets. */
    public CachedWeights {
        inMemory = Set.copyOf(inMemory);
        onDisk = Set.copyOf(onDisk);
    }
}
