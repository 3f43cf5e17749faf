package org.oleanderspring.core.placement;

/**
 * The limits on loads from the weight store for one cell.
 *
 * @param loadsPerSecond the maximum number of model loads started within any second
 * @param concurrentLoads the maximum number of concurrent model loads
 * @param concurrentAdapterLoads the maximum number of concurrent adapter loads
 */
public record LoadLimits(int loadsPerSecond, int concurrentLoads, int concurrentAdapterLoads) {
    /** Rejects limits below 1. */
    public LoadLimits {
        if (loadsPerSecond < 1 || concurrentLoads < 1 || concurrentAdapterLoads < 1) {
            throw new IllegalArgumentException(
                    "load limits must be positive: "
                            + loadsPerSecond
                            + " loads per second, "
                            + concurrentLoads
                            + " concurrent loads, "
                            + concurrentAdapterLoads
                            + " concurrent adapter loads");
        }
    }
}
