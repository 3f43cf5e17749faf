package org.oleanderspring.core.fleet;

import java.time.Instant;
import java.util.List;
import java.util.Objects;
import java.util.Set;
import org.oleanderspring.coordination.lease.FencingToken;

/**
 * What a runner says of itself; it may lag behind the truth.
 *
 * @param runner the runner
 * @param madeAt the state of which time it shows
 * @param highestToken the highest fencing token that the runner accepted
 * @param loaded the checkpoints that take memory
 * @param inMemory the checkpoints kept in the VM's memory, ready to be loaded
 * @param onDisk the checkpoints on the VM's disk
 * @param endedOrders the identities of recent orders that were carried out or gave up
 * @param concurrency how many calls the runner serves at a time
 * @param draining whether the runner takes no new calls
 */
public record RunnerReport(
        EndpointId runner,
        Instant madeAt,
        FencingToken highestToken,
        List<LoadedCheckpoint> loaded,
        Set<ModelName> inMemory,
        Set<ModelName> onDisk,
        Set<String> endedOrders,
        int concurrency,
        boolean draining) {
    /** Copies the collections and checks the range. */
    public RunnerReport {
        Objects.requireNonNull(runner, "runner");
        Objects.requireNonNull(madeAt, "madeAt");
        Objects.requireNonNull(highestToken, "highestToken");
        loaded = List.copyOf(loaded);
        inMemory = Set.copyOf(inMemory);
        onDisk = Set.copyOf(onDisk);
        endedOrders = Set.copyOf(endedOrders);
        if (concurrency < 1) {
            throw new IllegalArgumentException("concurrency is not positive: " + concurrency);
        }
    }

    /**
     * Returns where a checkpoint can be loaded from on this runner.
     *
     * @param name the model or adapter
     */
    public CheckpointLocation locationOf(ModelName name) {
        if (inMemory.contains(name)) {
            return CheckpointLocation.MEMORY;
        }
        if (onDisk.contains(name)) {
            return CheckpointLocation.DISK;
        }
        return CheckpointLocation.REMOTE;
    }
}
