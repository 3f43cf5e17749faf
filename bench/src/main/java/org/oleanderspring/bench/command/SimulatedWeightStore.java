package org.oleanderspring.bench.command;

import java.time.Duration;
import org.oleanderspring.core.fleet.Checkpoint;
import org.oleanderspring.core.fleet.CheckpointLocation;

/**
 * Computes how long loads take. Up to four models from the store and thirty adapters at a time are
 * loaded at full speed; above that, the duration of a new load grows with the number of loads.
 */
final class SimulatedWeightStore {
    private static final int FULL_SPEED_MODELS = 4;
    private static final int FULL_SPEED_ADAPTERS = 30;
    private static final double REMOTE_MILLIS_PER_MEGABYTE = 0.025;
    private static final double DISK_MILLIS_PER_MEGABYTE = 0.015;
    private static final double MEMORY_MILLIS_PER_MEGABYTE = 0.003;

    /** The fixed part of a model load, independent of size and source. */
    private static final double ENGINE_OVERHEAD_MILLIS = 300;

    private static final double ADAPTER_MILLIS_PER_MEGABYTE = 0.025;

    private int mModelLoads;
    private int mAdapterLoads;

    /**
     * Begins a load and returns its duration, which follows from the number of loads at this time.
     */
    Duration beginLoad(Checkpoint checkpoint, CheckpointLocation source) {
        if (checkpoint.isAdapter()) {
            mAdapterLoads++;
            double slowdown = Math.max(1, mAdapterLoads / (double) FULL_SPEED_ADAPTERS);
            return millis(checkpoint.memoryMegabytes() * ADAPTER_MILLIS_PER_MEGABYTE * slowdown);
        }
        if (source != CheckpointLocation.REMOTE) {
            boolean isInMemory = source == CheckpointLocation.MEMORY;
            double millisPerMegabyte =
                    isInMemory ? MEMORY_MILLIS_PER_MEGABYTE : DISK_MILLIS_PER_MEGABYTE;
            return millis(
                    ENGINE_OVERHEAD_MILLIS + checkpoint.memoryMegabytes() * millisPerMegabyte);
        }
        mModelLoads++;
        double slowdown = Math.max(1, mModelLoads / (double) FULL_SPEED_MODELS);
        double transferMillis =
                checkpoint.memoryMegabytes() * REMOTE_MILLIS_PER_MEGABYTE * slowdown;
        return millis(ENGINE_OVERHEAD_MILLIS + transferMillis);
    }

    /** Ends a load; later loads are no longer slowed by it. */
    void endLoad(Checkpoint checkpoint, CheckpointLocation source) {
        if (checkpoint.isAdapter()) {
            mAdapterLoads--;
        } else if (source == CheckpointLocation.REMOTE) {
            mModelLoads--;
        }
    }

    private static Duration millis(double millis) {
        return Duration.ofMillis((long) Math.ceil(millis));
    }
}
