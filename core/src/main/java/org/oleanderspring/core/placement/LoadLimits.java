package org.oleanderspring.core.placement;

/**
 * What the weight store allows to one cell.
 *
 * @param loadsPerSecond the most model loads started in any one second
 * @param concurrentLoads the most model loads at once
 * @param concurrentAdapterLoads the most adapter loads at once
 */
public record LoadLimits(int loadsPerSecond, int concurrentLoads, int concurrentAdapterLoads) {
    /** Checks the ranges. */
    public LoadLimits {
        if (loadsPerSecond < 1 || concurrentLoads < 1 || concurrentAdapterLoads < 1) {
            throw new IllegalArgumentException("load limit is not positive");
        }
    }
}
