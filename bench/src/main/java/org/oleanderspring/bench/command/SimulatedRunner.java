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

/** A runner that loads and unloads in virtual time and keeps recent checkpoints near. */
final class SimulatedRunner {
    static final int CONCURRENCY = 8;

    /** How many unloaded models stay in the memory of the VM, and how many on its disk. */
    private static final int MEMORY_CACHE = 2;

    private static final int DISK_CACHE = 12;

    private final Endpoint mEndpoint;
    private final TreeMap<ModelName, Loaded> mLoaded = new TreeMap<>();
    private final LinkedHashSet<ModelName> mInMemory = new LinkedHashSet<>();
    private final LinkedHashSet<ModelName> mOnDisk = new LinkedHashSet<>();
    private int mActiveCalls;

    SimulatedRunner(Endpoint endpoint) {
        mEndpoint = endpoint;
    }

    Endpoint endpoint() {
        return mEndpoint;
    }

    CheckpointLocation locationOf(ModelName name) {
        if (mInMemory.contains(name)) {
            return CheckpointLocation.MEMORY;
        }
        return mOnDisk.contains(name) ? CheckpointLocation.DISK : CheckpointLocation.REMOTE;
    }

    void beginLoad(Checkpoint checkpoint) {
        mLoaded.put(checkpoint.name(), new Loaded(checkpoint));
    }

    void endLoad(ModelName name) {
        Loaded loaded = mLoaded.get(name);
        if (loaded != null) {
            loaded.mIsReady = true;
        }
    }

    void unload(ModelName name) {
        Loaded loaded = mLoaded.remove(name);
        if (loaded != null && !loaded.mCheckpoint.isAdapter()) {
            keep(mInMemory, name, MEMORY_CACHE);
            keep(mOnDisk, name, DISK_CACHE);
        }
    }

    private static void keep(LinkedHashSet<ModelName> cache, ModelName name, int size) {
        cache.remove(name);
        cache.add(name);
        Iterator<ModelName> oldest = cache.iterator();
        while (cache.size() > size) {
            oldest.next();
            oldest.remove();
        }
    }

    boolean takesCall(ModelName name) {
        Loaded loaded = mLoaded.get(name);
        return loaded != null && loaded.mIsReady && mActiveCalls < CONCURRENCY;
    }

    /** Counts a call for the model and, for an adapter, for its base as well. */
    void addCalls(Checkpoint checkpoint, int calls) {
        mActiveCalls += calls;
        addCalls(checkpoint.name(), calls);
        ModelName base = checkpoint.base();
        if (base != null) {
            addCalls(base, calls);
        }
    }

    private void addCalls(ModelName name, int calls) {
        Loaded loaded = mLoaded.get(name);
        if (loaded != null) {
            loaded.mActiveCalls += calls;
        }
    }

    /** Returns the memory of models that no call uses. */
    long idleMegabytes() {
        long idle = 0;
        for (Loaded loaded : mLoaded.values()) {
            idle += loaded.mActiveCalls == 0 ? loaded.mCheckpoint.memoryMegabytes() : 0;
        }
        return idle;
    }

    RunnerReport report(Instant madeAt) {
        List<LoadedCheckpoint> shown = new ArrayList<>();
        for (Map.Entry<ModelName, Loaded> entry : mLoaded.entrySet()) {
            Loaded loaded = entry.getValue();
            LoadState state = loaded.mIsReady ? LoadState.READY : LoadState.LOADING;
            shown.add(new LoadedCheckpoint(entry.getKey(), "1", state, loaded.mActiveCalls));
        }
        FencingToken none = FencingToken.NONE;
        return new RunnerReport(
                mEndpoint.id(),
                madeAt,
                none,
                shown,
                mInMemory,
                mOnDisk,
                Set.of(),
                CONCURRENCY,
                false);
    }

    /** One checkpoint that takes memory. */
    private static final class Loaded {
        private final Checkpoint mCheckpoint;
        private boolean mIsReady;
        private int mActiveCalls;

        Loaded(Checkpoint checkpoint) {
            mCheckpoint = checkpoint;
        }
    }
}
