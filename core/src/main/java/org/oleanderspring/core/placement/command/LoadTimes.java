package org.oleanderspring.core.placement.command;

import java.time.Duration;
import java.util.EnumMap;
import java.util.Map;
import org.oleanderspring.core.fleet.Checkpoint;
import org.oleanderspring.core.fleet.CheckpointLocation;

/** Estimates how long a load takes, from measured loads by location. */
final class LoadTimes {
    /** The weight of the latest load in the moving average. */
    private static final double LATEST = 0.25;

    /**
     * Milliseconds for each megabyte of a model before anything was measured. A weight store that
     * serves 4 loads at once and 7 a second takes about 0.6 s for a load; a higher start would have
     * the first calls after a takeover refused although they can be served.
     */
    private static final Map<CheckpointLocation, Double> MODEL_START =
            Map.of(
                    CheckpointLocation.MEMORY, 0.01,
                    CheckpointLocation.DISK, 0.03,
                    CheckpointLocation.REMOTE, 0.05);

    /** Milliseconds for a whole adapter before anything was measured. */
    private static final double ADAPTER_START = 10;

    private final EnumMap<CheckpointLocation, Double> mModelRate =
            new EnumMap<>(CheckpointLocation.class);
    private double mAdapterMillis = ADAPTER_START;

    /** Takes in the time from the order to the report that showed the checkpoint ready. */
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

    /** Returns the estimate for a checkpoint from a location. */
    Duration estimate(Checkpoint checkpoint, CheckpointLocation source) {
        if (checkpoint.isAdapter()) {
            return Duration.ofMillis((long) mAdapterMillis);
        }
        return Duration.ofMillis((long) (rateOf(source) * checkpoint.memoryMegabytes()));
    }
}
