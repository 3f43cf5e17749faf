package org.oleanderspring.core.placement.command;

import java.time.Duration;
import java.util.EnumMap;
import java.util.Map;
import org.oleanderspring.core.fleet.Checkpoint;
import org.oleanderspring.core.fleet.CheckpointLocation;

/**
 * Estimates load times with moving averages of measured loads: for models the time per megabyte,
 * separately for each location, and for adapters the time of a load from any location.
 */
final class LoadTimeEstimator {
    /** The weight of the latest measurement in the moving average. */
    private static final double LATEST_WEIGHT = 0.25;

    /**
     * The initial load times of models, in milliseconds per megabyte, used until a load was
     * measured. A weight store that serves 4 concurrent loads and 7 loads per second takes about
     * 0.6 s per load. With a higher initial value, the first calls after a takeover would be
     * refused although they can be served in time.
     */
    private static final Map<CheckpointLocation, Double> INITIAL_MILLIS_PER_MEGABYTE =
            Map.of(
                    CheckpointLocation.MEMORY, 0.01,
                    CheckpointLocation.DISK, 0.03,
                    CheckpointLocation.REMOTE, 0.05);

    /** The initial load time of an adapter, in milliseconds, used until a load was measured. */
    private static final double INITIAL_ADAPTER_MILLIS = 10;

    private final EnumMap<CheckpointLocation, Double> mMillisPerMegabyte =
            new EnumMap<>(CheckpointLocation.class);
    private double mAdapterMillis = INITIAL_ADAPTER_MILLIS;

    /**
     * Adds a measurement: the time from the order to the report that showed the checkpoint as
     * ready. A negative time is ignored.
     */
    void addMeasurement(Checkpoint checkpoint, CheckpointLocation source, Duration time) {
        if (time.isNegative()) {
            return;
        }
        if (checkpoint.isAdapter()) {
            mAdapterMillis = average(mAdapterMillis, time.toMillis());
            return;
        }
        double measured = time.toMillis() / (double) checkpoint.memoryMegabytes();
        mMillisPerMegabyte.put(source, average(millisPerMegabyte(source), measured));
    }

    private static double average(double old, double latest) {
        return old + LATEST_WEIGHT * (latest - old);
    }

    private double millisPerMegabyte(CheckpointLocation source) {
        Double measured = mMillisPerMegabyte.get(source);
        return measured == null ? INITIAL_MILLIS_PER_MEGABYTE.getOrDefault(source, 0.05) : measured;
    }

    /** Returns the estimated time to load a checkpoint from a location. */
    Duration estimate(Checkpoint checkpoint, CheckpointLocation source) {
        if (checkpoint.isAdapter()) {
            return Duration.ofMillis((long) mAdapterMillis);
        }
        return Duration.ofMillis((long) (millisPerMegabyte(source) * checkpoint.memoryMegabytes()));
    }
}
