package org.oleanderspring.core.fleet;

import java.time.Instant;
import java.util.List;
import java.util.Objects;
import java.util.Set;
import org.oleanderspring.coordination.lease.FencingToken;

/**
 * The state of a runner as reported by the runner. It may be out of date.
 *
 * @param runner the identity of the runner
 * @param madeAt the time of the reported state
 * @param highestToken the highest fencing token that the runner has accepted
 * @param loaded the checkpoints that occupy model memory, in any load state
 * @param inMemory the checkpoints cached in the main memory of the VM
 * @param onDisk the checkpoints cached on the disk of the VM
 * @param endedOrders the identities of recent orders that were executed or abandoned
 * @param concurrency the maximum number of calls that the runner serves at a time; positive
 * @param draining whether the runner accepts no new calls
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
    /** Copies the collections and rejects a concurrency below 1. */
    public RunnerReport {
        Objects.requireNonNull(runner, "runner");
        Objects.requireNonNull(madeAt, "madeAt");
        Objects.requireNonNull(highestToken, "highestToken");
        loaded = List.copyOf(loaded);
        inMemory = Set.copyOf(inMemory);
        onDisk = Set.copyOf(onDisk);
        endedOrders = Set.copyOf(endedOrders);
        if (concurrency < 1) {
            throw new IllegalArgumentException(
                    "concurrency of " + runner + " is not positive: " + concurrency);
        }
    }

    /**
     * Returns the fastest location from which this runner can load a checkpoint.
     *
     * @param name the name of the model or adapter
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
