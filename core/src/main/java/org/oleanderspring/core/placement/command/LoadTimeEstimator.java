package org.oleanderspring.core.placement.command;

import java.time.Duration;
import java.util.EnumMap;
import java.util.Map;
import org.oleanderspring.core.fleet.Checkpoint;
import org.oleanderspring.core.fleet.CheckpointLocation;

/** Estimates load times with moving averages of measured loads, separately for each location. */
final class LoadTimeEstimator {
    /** The weight of the latest measurement in the moving average. */
    private static final double LATEST_WEIGHT = 0.25;

    /**
     * The initial load times of models, in milliseconds per megabyte, used until a load was
     * measured. A weight store that serves 4 concurrent loads and 7 loads per second takes about
     * 0.6 s per load. With a higher initial value, the first calls after a takeover would be
     * refused although they can be served in time.
     */
    private static final Map<CheckpointLocation, Double> INITIAL_MODEL_RATES =
            Map.of(
                    CheckpointLocation.MEMORY, 0.01,
                    CheckpointLocation.DISK, 0.03,
                    CheckpointLocation.REMOTE, 0.05);

    /** The initial load time of an adapter, in milliseconds, used until a load was measured. */
    private static final double INITIAL_ADAPTER_MILLIS = 10;

    private final EnumMap<CheckpointLocation, Double> mModelRates =
            new EnumMap<>(CheckpointLocation.class);
    private double mAdapterMillis = INITIAL_ADAPTER_MILLIS;

    /**
     * Adds a measurement: the time from the order to the report that showed the checkpoint as
     * ready.
     */
    void addMeasurement(Checkpoint checkpoint, CheckpointLocation source, Duration time) {
        if (time.isNegative()) {
            return;
        }
        if (checkpoint.isAdapter()) {
            mAdapterMillis = average(mAdapterMillis, time.toMillis());
            return;
        }
        double rate = time.toMillis() / (double) checkpoint.memoryMegabytes();
        mModelRates.put(source, average(rateOf(source), rate));
    }

    private static double average(double old, double latest) {
        return old + LATEST_WEIGHT * (latest - old);
    }

    private double rateOf(CheckpointLocation source) {
        Double measured = mModelRates.get(source);
        return measured == null ? INITIAL_MODEL_RATES.getOrDefault(source, 0.05) : measured;
    }

    /** Returns the estimated time to load a checkpoint from a location. */
    Duration estimate(Checkpoint checkpoint, CheckpointLocation source) {
        if (checkpoint.isAdapter()) {
            return Duration.ofMillis((long) mAdapterMillis);
        }
        return Duration.ofMillis((long) (rateOf(source) * checkpoint.memoryMegabytes()));
    }
}
