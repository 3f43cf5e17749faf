package org.oleanderspring.standin.weightstore;

/**
 * The limits of the weight store.
 *
 * @param loadsPerSecond the model downloads that may start within any second
 * @param fullSpeedLoads the concurrent model downloads that run at full speed, at least 1; more
 *     than that slow down new ones
 * @param fullSpeedAdapters the concurrent adapter downloads that run at full speed, at least 1;
 *     more than that slow down new ones
 */
public record WeightStoreOptions(int loadsPerSecond, int fullSpeedLoads, int fullSpeedAdapters) {
    /** The limits of the larger of the two deployments for which the system is designed. */
    public static final WeightStoreOptions DEFAULT = new WeightStoreOptions(7, 4, 30);
}
