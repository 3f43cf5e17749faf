package org.oleanderspring.core.placement.command;

import java.time.Duration;
import java.util.EnumMap;
import java.util.Map;
import org.oleanderspring.core.fleet.Checkpoint;
import org.oleanderspring.core.fleet.CheckpointLocation;

/** Estimates load times with moving averages of measured loads, separately for each location. */
final class LoadTimes {
    /** The weight of the latest measurement in the moving average. */
    private static final double LATEST = 0.25;

    /**
     * The initial load times of models, in milliseconds per megabyte, used until a load was
     * measured. A weight store that serves 4 concurrent loads and 7 loads per second takes about
     * 0.6 s per load. With a higher initial value, the first calls after a takeover would be
     * refused although they can be served in time.
     */
    private static final Map<CheckpointLocation, Double> MODEL_START =
            Map.of(
                    CheckpointLocation.MEMORY, 0.01,
                    CheckpointLocation.DISK, 0.03,
                    CheckpointLocation.REMOTE, 0.05);

    /** The initial load time of an adapter, in milliseconds, used until a load was measured. */
    private static final double ADAPTER_START = 10;

    private final EnumMap<CheckpointLocation, Double> mModelRate =
            new EnumMap<>(CheckpointLocation.class);
    private double mAdapterMillis = ADAPTER_START;

    /**
     * Adds a measurement: the time from the order to the report that showed the checkpoint as
     * ready.
     */
    void measured(Checkpoint checkpoint, CheckpointLocation source, Duration time) {
        if (time.isNegative()) {
            return;
        }
        if (checkpoint.isAdapter()) {
            mAdapterMillis = mix(mAdapterMillis, time.toMillis());
            return;
        }
        double rate = time.toMillis() / (double) checkpoint.memoryMegabytes();
        mModelRate.put(source, mix(rateOf(source), rate));
    }

    private static double mix(double old, double latest) {
        return old + LATEST * (latest - old);
    }

    private double rateOf(CheckpointLocation source) {
        Double measured = mModelRate.get(source);
        return measured == null ? MODEL_START.getOrDefault(source, 0.05) : measured;
    }

    /** Returns the estimated time to load a checkpoint from a location. */
    Duration estimate(Checkpoint checkpoint, CheckpointLocation source) {
        if (checkpoint.isAdapter()) {
            return Duration.ofMillis((long) mAdapterMillis);
        }
        return Duration.ofMillis((long) (rateOf(source) * checkpoint.memoryMegabytes()));
    }
}
