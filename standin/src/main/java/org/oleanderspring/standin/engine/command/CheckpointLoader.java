package org.oleanderspring.standin.engine.command;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.time.Duration;
import java.util.List;
import org.jspecify.annotations.Nullable;
import org.oleanderspring.standin.engine.EngineOrder;
import org.oleanderspring.standin.engine.EngineSlot;
import org.oleanderspring.standin.engine.EngineSlotState;
import org.oleanderspring.standin.engine.EngineState;
import org.oleanderspring.standin.engine.SimulatedLoadTimes;
import org.oleanderspring.standin.http.StateThread;

/**
 * Simulates loads and unloads of checkpoints by delays.
 *
 * <p>A load takes the load time from memory or from disk if the weights are there, or else that of
 * a download, which waits for a permit of the weight store and is slowed down by the factor in the
 * permit. The memory of the checkpoint is occupied from the start of its load. If the slot was
 * removed or is being unloaded when its load ends, the checkpoint does not become ready. Used on
 * the engine's state thread only.
 */
public final class CheckpointLoader {
    private static final Logger LOGGER = System.getLogger(CheckpointLoader.class.getName());
    private static final Duration PERMIT_RETRY_DELAY = Duration.ofMillis(100);
    private static final long PER_MILLE = 1_000;

    private final StateThread mStateThread;
    private final EngineState mState;
    private final @Nullable WeightStoreClient mWeightStore;
    private final AttemptExecutor mExecutor;
    private final Runnable mCrash;

    /**
     * Creates a loader.
     *
     * @param stateThread the thread that owns the state
     * @param state the engine state
     * @param weightStore the client of the weight store, or null to load without download permits
     * @param executor the executor of attempts
     * @param crash the action that simulates a crash of the process, run on the state thread
     */
    public CheckpointLoader(
            StateThread stateThread,
            EngineState state,
            @Nullable WeightStoreClient weightStore,
            AttemptExecutor executor,
            Runnable crash) {
        mStateThread = stateThread;
        mState = state;
        mWeightStore = weightStore;
        mExecutor = executor;
        mCrash = crash;
    }

    void load(EngineOrder order, EngineSlot slot) {
        mState.slots().put(slot.name(), slot);
        mState.updateReport();
        SimulatedLoadTimes times = mState.options().loadTimes();
        boolean adapter = slot.base() != null;
        if (mState.inMemory().contains(slot.name())) {
            scheduleFinish(adapter ? times.adapter() : times.fromMemory(), order, slot);
        } else if (mState.onDisk().contains(slot.name())) {
            scheduleFinish(adapter ? times.adapter() : times.fromDisk(), order, slot);
        } else {
            requestDownload(order, slot);
        }
    }

    private void scheduleFinish(Duration time, EngineOrder order, EngineSlot slot) {
        mStateThread.schedule(time, () -> finish(order, slot));
    }

    private void requestDownload(EngineOrder order, EngineSlot slot) {
        if (mState.slots().get(slot.name()) != slot) {
            // The slot was removed while the load waited for a permit.
            return;
        }
        WeightStoreClient store = mWeightStore;
        if (store == null) {
            startDownload(DownloadPermit.UNRESTRICTED, order, slot);
            return;
        }
        store.requestPermit(
                slot.name(),
                slot.base() != null,
                permit -> mStateThread.execute(() -> startDownload(permit, order, slot)));
    }

    private void startDownload(DownloadPermit permit, EngineOrder order, EngineSlot slot) {
        if (!permit.isGranted()) {
            mStateThread.schedule(PERMIT_RETRY_DELAY, () -> requestDownload(order, slot));
            return;
        }
        SimulatedLoadTimes times = mState.options().loadTimes();
        Duration fullSpeed = slot.base() != null ? times.adapter() : times.fromStore();
        Duration time = fullSpeed.multipliedBy(permit.slowdownPerMille()).dividedBy(PER_MILLE);
        mStateThread.schedule(
                time,
                () -> {
                    releasePermit(permit);
                    mState.onDisk().add(slot.name());
                    finish(order, slot);
                });
    }

    private void releasePermit(DownloadPermit permit) {
        if (mWeightStore != null) {
            mWeightStore.release(permit);
        }
    }

    private void finish(EngineOrder order, EngineSlot slot) {
        boolean ready =
                mState.slots().get(slot.name()) == slot && slot.state() == EngineSlotState.LOADING;
        mState.endedOrders().add(order.id());
        if (ready && mState.faults().consumeLoadFailure()) {
            mState.slots().remove(slot.name());
            ready = false;
        }
        if (ready) {
            slot.setState(EngineSlotState.READY);
            mState.inMemory().add(slot.name());
        }
        mState.updateReport();
        LOGGER.log(
                Level.INFO,
                "[engine] Load order {0} for checkpoint {1} ended, ready={2}.",
                order.id(),
                slot.name(),
                ready);
        if (mState.faults().crashesAfterLoad()) {
            mCrash.run();
        }
    }

    void unload(EngineOrder order, EngineSlot slot) {
        slot.setState(EngineSlotState.UNLOADING);
        mExecutor.abortAll(slot.name());
        mState.updateReport();
        mStateThread.schedule(mState.options().loadTimes().unload(), () -> remove(order, slot));
    }

    private void remove(EngineOrder order, EngineSlot slot) {
        mState.slots().remove(slot.name(), slot);
        mState.prefixCache().removeModel(slot.name());
        // An adapter cannot run without its base model.
        List<String> adapters =
                mState.slots().values().stream()
                        .filter(other -> slot.name().equals(other.base()))
                        .map(EngineSlot::name)
                        .toList();
        for (String adapter : adapters) {
            mExecutor.abortAll(adapter);
            mState.slots().remove(adapter);
        }
        mState.endedOrders().add(order.id());
        mState.updateReport();
        LOGGER.log(
                Level.INFO,
                "[engine] Unload order {0} for checkpoint {1} ended.",
                order.id(),
                slot.name());
    }
}
