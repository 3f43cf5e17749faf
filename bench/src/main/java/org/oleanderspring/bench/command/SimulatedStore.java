package org.oleanderspring.bench.command;

import java.time.Duration;
import org.oleanderspring.core.fleet.Checkpoint;
import org.oleanderspring.core.fleet.CheckpointLocation;

/** The time that loads take: four models at once at full speed, thirty adapters. */
final class SimulatedStore {
    private static final int FULL_SPEED_MODELS = 4;
    private static final int FULL_SPEED_ADAPTERS = 30;
    private static final double REMOTE_MILLIS_PER_MEGABYTE = 0.025;
    private static final double DISK_MILLIS_PER_MEGABYTE = 0.015;
    private static final double MEMORY_MILLIS_PER_MEGABYTE = 0.003;
    private static final double ENGINE_MILLIS = 300;
    private static final double ADAPTER_MILLIS_PER_MEGABYTE = 0.025;

    private int mModels;
    private int mAdapters;

    /** Begins a load and returns how long it takes at the present number of loads. */
    Duration begin(Checkpoint checkpoint, CheckpointLocation source) {
        if (checkpoint.isAdapter()) {
            mAdapters++;
            double slowdown = Math.max(1, mAdapters / (double) FULL_SPEED_ADAPTERS);
            return millis(checkpoint.memoryMegabytes() * ADAPTER_MILLIS_PER_MEGABYTE * slowdown);
        }
        if (source != CheckpointLocation.REMOTE) {
            boolean isInMemory = source == CheckpointLocation.MEMORY;
            double rate = isInMemory ? MEMORY_MILLIS_PER_MEGABYTE : DISK_MILLIS_PER_MEGABYTE;
            return millis(ENGINE_MILLIS + checkpoint.memoryMegabytes() * rate);
        }
        mModels++;
        double slowdown = Math.max(1, mModels / (double) FULL_SPEED_MODELS);
        double transfer = checkpoint.memoryMegabytes() * REMOTE_MILLIS_PER_MEGABYTE * slowdown;
        return millis(ENGINE_MILLIS + transfer);
    }

    void end(Checkpoint checkpoint, CheckpointLocation source) {
        if (checkpoint.isAdapter()) {
            mAdapters--;
        } else if (source == CheckpointLocation.REMOTE) {
            mModels--;
        }
    }

    private static Duration millis(double millis) {
        return Duration.ofMillis((long) Math.ceil(millis));
    }
}
