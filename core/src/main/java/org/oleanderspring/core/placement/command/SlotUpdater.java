package org.oleanderspring.core.placement.command;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import org.oleanderspring.core.fleet.Checkpoint;
import org.oleanderspring.core.fleet.CheckpointLocation;
import org.oleanderspring.core.fleet.Endpoint;
import org.oleanderspring.core.fleet.LoadState;
import org.oleanderspring.core.fleet.LoadedCheckpoint;
import org.oleanderspring.core.fleet.RunnerReport;
import org.oleanderspring.core.placement.Slot;
import org.oleanderspring.core.placement.SlotKey;
import org.oleanderspring.core.placement.SlotReason;
import org.oleanderspring.core.placement.SlotState;

/**
 * Updates the states of slots from the reports of runners.
 *
 * <p>Only a report made after the slot entered its state is used, because an earlier report may
 * show a previous slot of the same runner and model. A slot that is loading is released only if a
 * report shows the model absent and is known to include the final effect of the slot's last order
 * (see {@link OrderOutcomeTracker}). For a slot whose model was reported as loaded, absence is
 * sufficient, because only its own unload can have removed the model.
 */
final class SlotUpdater {
    private final CellState mState;

    SlotUpdater(CellState state) {
        mState = state;
    }

    /** Applies a report to the slots of its runner. */
    void apply(RunnerReport report, Instant now) {
        for (Slot slot : List.copyOf(mState.slots().on(report.runner()))) {
            if (report.madeAt().isAfter(slot.since())) {
                apply(report, slot, now);
            }
        }
        report.loaded().forEach(loaded -> addUnknown(report, loaded, now));
    }

    private void apply(RunnerReport report, Slot slot, Instant now) {
        LoadedCheckpoint loaded = PlacementFleetState.loaded(report, slot.key().name());
        if (loaded == null) {
            applyAbsent(report, slot, now);
        } else {
            applyLoaded(report, slot, loaded, now);
        }
    }

    private void applyAbsent(RunnerReport report, Slot slot, Instant now) {
        switch (slot.state()) {
            case LOADING -> releaseFailedLoad(report, slot, now);
            case UNSETTLED_LOAD -> {
                if (includesOutcome(report, slot)) {
                    mState.release(slot, now);
                }
            }
            case READY, DRAINING, UNLOADING, UNSETTLED_UNLOAD -> mState.release(slot, now);
            default -> {
                // The model of a reserved slot is absent until its load is ordered.
            }
        }
    }

    private void releaseFailedLoad(RunnerReport report, Slot slot, Instant now) {
        if (includesOutcome(report, slot)) {
            mState.backOff().failed(slot.key(), now);
            mState.release(slot, now);
        }
    }

    private void applyLoaded(RunnerReport report, Slot slot, LoadedCheckpoint loaded, Instant now) {
        switch (slot.state()) {
            case LOADING, UNSETTLED_LOAD -> applyLoading(report, slot, loaded, now);
            case READY -> {
                if (loaded.activeCalls() > 0) {
                    mState.usage().recordUse(slot.key().name(), now);
                }
            }
            case UNLOADING, UNSETTLED_UNLOAD -> applyUnloading(report, slot, loaded, now);
            default -> {
                // UnloadPlanner unloads draining slots. Reserved slots have no order yet.
            }
        }
    }

    private void applyLoading(
            RunnerReport report, Slot slot, LoadedCheckpoint loaded, Instant now) {
        mState.outcomes().exchangeEnded(slot.order().id(), report.madeAt());
        if (loaded.state() == LoadState.READY) {
            if (slot.state() == SlotState.LOADING) {
                Duration time = Duration.between(slot.since(), report.madeAt());
                mState.loadTimes().addMeasurement(slot.checkpoint(), slot.source(), time);
            }
            mState.backOff().succeeded(slot.key());
            mState.put(slot.withState(SlotState.READY, now));
        } else if (slot.state() == SlotState.UNSETTLED_LOAD) {
            mState.put(slot.withState(SlotState.LOADING, now));
        }
    }

    private void applyUnloading(
            RunnerReport report, Slot slot, LoadedCheckpoint loaded, Instant now) {
        boolean isNotUnloading = loaded.state() != LoadState.UNLOADING;
        if (isNotUnloading && includesOutcome(report, slot)) {
            mState.backOff().failed(slot.key(), now);
            mState.put(slot.withState(SlotState.DRAINING, now));
        }
    }

    private boolean includesOutcome(RunnerReport report, Slot slot) {
        Endpoint runner = mState.fleet().runner(report.runner());
        Duration settleTime = mState.limits().orderSettleTime();
        return mState.outcomes().includesOutcome(report, slot, runner, mState.term(), settleTime);
    }

    /**
     * Adds a draining slot for a reported checkpoint without a slot, so that it counts against the
     * limits and is unloaded.
     */
    private void addUnknown(RunnerReport report, LoadedCheckpoint loaded, Instant now) {
        SlotKey key = new SlotKey(report.runner(), loaded.name());
        Endpoint runner = mState.fleet().runner(report.runner());
        Checkpoint listed = mState.checkpoint(loaded.name());
        Instant released = mState.releasedAt(key).plus(mState.limits().orderSettleTime());
        boolean isKnown = mState.slots().get(key) != null;
        if (isKnown || runner == null || listed == null || !report.madeAt().isAfter(released)) {
            return;
        }
        mState.put(newFoundSlot(key, listed, loaded, runner, now));
    }

    private Slot newFoundSlot(
            SlotKey key, Checkpoint listed, LoadedCheckpoint loaded, Endpoint runner, Instant now) {
        Checkpoint checkpoint =
                new Checkpoint(
                        listed.name(), listed.base(), loaded.version(), listed.memoryMegabytes());
        return new Slot(
                key,
                checkpoint,
                runner.vm(),
                SlotState.DRAINING,
                now,
                mState.newOrder(),
                CheckpointLocation.MEMORY,
                SlotReason.FOUND);
    }

    /**
     * Releases the slots of runners that no longer exist, and records the order senders whose VMs
     * no longer exist.
     */
    void processAbsences(Instant now) {
        Duration lag = mState.limits().vmListLag();
        for (Slot slot : mState.slots().all()) {
            if (mState.fleet().isRunnerConfirmedAbsent(slot.key().runner(), lag)) {
                mState.release(slot, now);
            } else if (mState.fleet().isVmConfirmedAbsent(slot.order().sender().vm(), lag)) {
                mState.outcomes().senderAbsent(slot.order().sender(), now);
            }
        }
    }
}
