package org.oleanderspring.bench.command;

import java.time.Instant;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.oleanderspring.coordination.lease.FencingToken;
import org.oleanderspring.core.fleet.Checkpoint;
import org.oleanderspring.core.fleet.CheckpointLocation;
import org.oleanderspring.core.fleet.Endpoint;
import org.oleanderspring.core.fleet.LoadState;
import org.oleanderspring.core.fleet.LoadedCheckpoint;
import org.oleanderspring.core.fleet.ModelName;
import org.oleanderspring.core.fleet.RunnerReport;

/** A runner that loads and unloads in virtual time; unloaded models stay cached on its VM. */
final class SimulatedRunner {
    /** The number of calls that the runner executes concurrently, over all models. */
    static final int CONCURRENCY = 8;

    /** The number of unloaded models that stay cached in the memory of the VM. */
    private static final int MEMORY_CACHE_SIZE = 2;

    /** The number of unloaded models that stay cached on the disk of the VM. */
    private static final int DISK_CACHE_SIZE = 12;

    private final Endpoint mEndpoint;
    private final TreeMap<ModelName, ResidentCheckpoint> mLoaded = new TreeMap<>();

    /** The models cached in memory, the least recently unloaded one first. */
    private final LinkedHashSet<ModelName> mInMemory = new LinkedHashSet<>();

    /** The models cached on disk, the least recently unloaded one first. */
    private final LinkedHashSet<ModelName> mOnDisk = new LinkedHashSet<>();

    private int mActiveCalls;

    SimulatedRunner(Endpoint endpoint) {
        mEndpoint = endpoint;
    }

    Endpoint endpoint() {
        return mEndpoint;
    }

    /** Returns the nearest location from which the checkpoint can be loaded. */
    CheckpointLocation locationOf(ModelName name) {
        if (mInMemory.contains(name)) {
            return CheckpointLocation.MEMORY;
        }
        return mOnDisk.contains(name) ? CheckpointLocation.DISK : CheckpointLocation.REMOTE;
    }

    void beginLoad(Checkpoint checkpoint) {
        mLoaded.put(checkpoint.name(), new ResidentCheckpoint(checkpoint));
    }

    void endLoad(ModelName name) {
        ResidentCheckpoint resident = mLoaded.get(name);
        if (resident != null) {
            resident.mIsReady = true;
        }
    }

    /** Frees the accelerator memory; a model enters both caches, an adapter enters none. */
    void unload(ModelName name) {
        ResidentCheckpoint resident = mLoaded.remove(name);
        if (resident != null && !resident.mCheckpoint.isAdapter()) {
            addToCache(mInMemory, name, MEMORY_CACHE_SIZE);
            addToCache(mOnDisk, name, DISK_CACHE_SIZE);
        }
    }

    private static void addToCache(LinkedHashSet<ModelName> cache, ModelName name, int maxSize) {
        cache.remove(name);
        cache.add(name);
        Iterator<ModelName> oldest = cache.iterator();
        while (cache.size() > maxSize) {
            oldest.next();
            oldest.remove();
        }
    }

    /** Returns whether the model is ready and the runner has spare concurrency. */
    boolean canAcceptCall(ModelName name) {
        ResidentCheckpoint resident = mLoaded.get(name);
        return resident != null && resident.mIsReady && mActiveCalls < CONCURRENCY;
    }

    /** Adds to the running calls of the model and, for an adapter, of its base model as well. */
    void addCalls(Checkpoint checkpoint, int calls) {
        mActiveCalls += calls;
        addCalls(checkpoint.name(), calls);
        ModelName base = checkpoint.base();
        if (base != null) {
            addCalls(base, calls);
        }
    }

    private void addCalls(ModelName name, int calls) {
        ResidentCheckpoint resident = mLoaded.get(name);
        if (resident != null) {
            resident.mActiveCalls += calls;
        }
    }

    /** Returns the memory of loaded and loading checkpoints without a running call. */
    long idleMegabytes() {
        long idleMegabytes = 0;
        for (ResidentCheckpoint resident : mLoaded.values()) {
            idleMegabytes +=
                    resident.mActiveCalls == 0 ? resident.mCheckpoint.memoryMegabytes() : 0;
        }
        return idleMegabytes;
    }

    RunnerReport report(Instant madeAt) {
        List<LoadedCheckpoint> checkpoints = new ArrayList<>();
        for (Map.Entry<ModelName, ResidentCheckpoint> entry : mLoaded.entrySet()) {
            ResidentCheckpoint resident = entry.getValue();
            LoadState state = resident.mIsReady ? LoadState.READY : LoadState.LOADING;
            checkpoints.add(
                    new LoadedCheckpoint(entry.getKey(), "1", state, resident.mActiveCalls));
        }
        FencingToken noToken = FencingToken.NONE;
        return new RunnerReport(
                mEndpoint.id(),
                madeAt,
                noToken,
                checkpoints,
                mInMemory,
                mOnDisk,
                Set.of(),
                CONCURRENCY,
                false);
    }

    /** A checkpoint that occupies accelerator memory, loading or loaded. */
    private static final class ResidentCheckpoint {
        private final Checkpoint mCheckpoint;
        private boolean mIsReady;
        private int mActiveCalls;

        ResidentCheckpoint(Checkpoint checkpoint) {
            mCheckpoint = checkpoint;
        }
    }
}
