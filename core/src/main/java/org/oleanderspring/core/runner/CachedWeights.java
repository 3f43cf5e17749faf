package org.oleanderspring.core.runner;

import java.util.Set;
import org.oleanderspring.core.fleet.ModelName;

/**
 * The models whose weights lie near a runner, so that a load does not need the weight store.
 *
 * @param inMemory in the memory of the runner's machine
 * @param onDisk on its disk
 */
public record CachedWeights(Set<ModelName> inMemory, Set<ModelName> onDisk) {
    /** No copies. */
    public static final CachedWeights NONE = new CachedWeights(Set.of(), Set.of());

    /** Copies the sets. */
    public CachedWeights {
        inMemory = Set.copyOf(inMemory);
        onDisk = Set.copyOf(onDisk);
    }
}
