package org.oleanderspring.standin.weightstore;

/**
 * The limits of the weight store.
 *
 * @param loadsPerSecond the loads of models that may start in any second
 * @param fullSpeedLoads the loads of models that run at full speed; more slow all of them down
 * @param fullSpeedAdapters the loads of adapters that run at full speed
 */
public record WeightStoreOptions(int loadsPerSecond, int fullSpeedLoads, int fullSpeedAdapters) {
    /** The limits of the larger deployment. */
    public static final WeightStoreOptions DEFAULT = new WeightStoreOptions(7, 4, 30);
}
