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
import org.oleanderspring.standin.engine.LoadTimes;
import org.oleanderspring.standin.http.StateThread;

/** Loads and unloads checkpoints in simulated time. */
public final class CheckpointLoader {
    private static final Logger LOGGER = System.getLogger(CheckpointLoader.class.getName());
    private static final Duration PERMIT_RETRY_DELAY = Duration.ofMillis(100);
    private static final long PER_MILLE = 1_000;

    private final StateThread mDuty;
    private final EngineState mState;
    private final @Nullable WeightStoreClient mWeightStore;
    private final AttemptExecutor mGenerator;
    private final Runnable mCrash;

    /**
     * Creates a loader.
     *
     * @param duty owns the state
     * @param state the state
     * @param weightStore the weight store, or null to load without permits
     * @param generator runs the attempts
     * @param crash ends the process
     */
    public CheckpointLoader(
            StateThread duty,
            EngineState state,
            @Nullable WeightStoreClient weightStore,
            AttemptExecutor generator,
            Runnable crash) {
        mDuty = duty;
        mState = state;
        mWeightStore = weightStore;
        mGenerator = generator;
        mCrash = crash;
    }

    void load(EngineOrder order, EngineSlot slot) {
        mState.slots().put(slot.name(), slot);
        mState.updateReport();
        LoadTimes times = mState.options().loadTimes();
        boolean adapter = slot.base() != null;
        if (mState.inMemory().contains(slot.name())) {
            finishAfter(adapter ? times.adapter() : times.fromMemory(), order, slot);
        } else if (mState.onDisk().contains(slot.name())) {
            finishAfter(adapter ? times.adapter() : times.fromDisk(), order, slot);
        } else {
            download(order, slot);
        }
    }

    private void finishAfter(Duration time, EngineOrder order, EngineSlot slot) {
        mDuty.schedule(time, () -> finish(order, slot));
    }

    private void download(EngineOrder order, EngineSlot slot) {
        if (mState.slots().get(slot.name()) != slot) {
            return;
        }
        WeightStoreClient store = mWeightStore;
        if (store == null) {
            downloadWith(DownloadPermit.UNRESTRICTED, order, slot);
            return;
        }
        store.requestPermit(
                slot.name(),
                slot.base() != null,
                permit -> mDuty.execute(() -> downloadWith(permit, order, slot)));
    }

    private void downloadWith(DownloadPermit permit, EngineOrder order, EngineSlot slot) {
        if (!permit.isGranted()) {
            mDuty.schedule(PERMIT_RETRY_DELAY, () -> download(order, slot));
            return;
        }
        LoadTimes times = mState.options().loadTimes();
        Duration fullSpeed = slot.base() != null ? times.adapter() : times.fromStore();
        Duration time = fullSpeed.multipliedBy(permit.slowdownPerMille()).dividedBy(PER_MILLE);
        mDuty.schedule(
                time,
                () -> {
                    release(permit);
                    mState.onDisk().add(slot.name());
                    finish(order, slot);
                });
    }

    private void release(DownloadPermit permit) {
        if (mWeightStore != null) {
            mWeightStore.release(permit);
        }
    }

    private void finish(EngineOrder order, EngineSlot slot) {
        boolean stillWanted =
                mState.slots().get(slot.name()) == slot && slot.state() == EngineSlotState.LOADING;
        mState.endedOrders().add(order.id());
        if (stillWanted && mState.faults().consumeLoadFailure()) {
            mState.slots().remove(slot.name());
            stillWanted = false;
        }
        if (stillWanted) {
            slot.setState(EngineSlotState.READY);
            mState.inMemory().add(slot.name());
        }
        mState.updateReport();
        LOGGER.log(
                Level.INFO,
                "[engine] Load {0} of {1} ended, ready={2}.",
                order.id(),
                slot.name(),
                stillWanted);
        if (mState.faults().crashesAfterLoad()) {
            mCrash.run();
        }
    }

    void unload(EngineOrder order, EngineSlot slot) {
        slot.setState(EngineSlotState.UNLOADING);
        mGenerator.abortAll(slot.name());
        mState.updateReport();
        mDuty.schedule(mState.options().loadTimes().unload(), () -> remove(order, slot));
    }

    private void remove(EngineOrder order, EngineSlot slot) {
        mState.slots().remove(slot.name(), slot);
        mState.prefixCache().removeModel(slot.name());
        List<String> adapters =
                mState.slots().values().stream()
                        .filter(other -> slot.name().equals(other.base()))
                        .map(EngineSlot::name)
                        .toList();
        for (String adapter : adapters) {
            mGenerator.abortAll(adapter);
            mState.slots().remove(adapter);
        }
        mState.endedOrders().add(order.id());
        mState.updateReport();
        LOGGER.log(Level.INFO, "[engine] Unload {0} of {1} ended.", order.id(), slot.name());
    }
}
