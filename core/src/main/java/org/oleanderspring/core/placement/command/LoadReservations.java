package org.oleanderspring.core.placement.command;

import java.time.Duration;
import java.time.Instant;
import java.util.function.Predicate;
import org.jspecify.annotations.Nullable;
import org.oleanderspring.core.fleet.Checkpoint;
import org.oleanderspring.core.fleet.CheckpointLocation;
import org.oleanderspring.core.fleet.Endpoint;
import org.oleanderspring.core.placement.Readiness;
import org.oleanderspring.core.placement.Slot;
import org.oleanderspring.core.placement.SlotKey;
import org.oleanderspring.core.placement.SlotReason;
import org.oleanderspring.core.placement.SlotState;
import org.oleanderspring.core.placement.UnreadyReason;

/** Adds slots for new loads to the next plan. */
final class LoadReservations {
    private final CellState mState;

    LoadReservations(CellState state) {
        mState = state;
    }

    /**
     * Reserves a slot for a model on the preferred runner that has {@code megabytes} free and for
     * which the weight store admits the load.
     *
     * @return null if a slot was reserved, otherwise the estimate of when the model can be ready
     */
    @Nullable Readiness place(
            Checkpoint checkpoint,
            long megabytes,
            SlotReason reason,
            CapacityFinder capacity,
            Instant now) {
        RunnerCandidate admitted =
                capacity.findRunner(
                        checkpoint, megabytes, candidate -> admits(candidate, now), now);
        if (admitted != null) {
            addLoading(checkpoint, admitted, reason, now);
            return null;
        }
        RunnerCandidate fitting =
                capacity.findRunner(checkpoint, megabytes, candidate -> true, now);
        if (fitting != null) {
            capacity.claim(fitting.runner(), megabytes);
            Duration load = mState.loadTimes().estimate(checkpoint, fitting.location());
            return new Readiness.ReadyAt(now.plus(load));
        }
        return requestMemory(checkpoint, megabytes, reason, capacity, now);
    }

    private Readiness requestMemory(
            Checkpoint checkpoint,
            long megabytes,
            SlotReason reason,
            CapacityFinder capacity,
            Instant now) {
        Predicate<Endpoint> any = runner -> true;
        boolean mayEvict = reason != SlotReason.PREWARM && reason != SlotReason.NEW_VERSION;
        if (capacity.makeRoom(checkpoint.name(), megabytes, any, mayEvict, now)) {
            return estimateAfterDraining(checkpoint, now);
        }
        boolean hasRunner = capacity.hasRunner(checkpoint.name(), any, now);
        return new Readiness.NotPossible(
                hasRunner ? UnreadyReason.NO_MEMORY : UnreadyReason.NO_RUNNER);
    }

    private boolean admits(RunnerCandidate candidate, Instant now) {
        return mState.admission().admitsModel(candidate.location(), mState.limits().loads(), now);
    }

    /** Estimates when a load is finished that starts after a draining slot has been unloaded. */
    Readiness estimateAfterDraining(Checkpoint checkpoint, Instant now) {
        Duration load = mState.loadTimes().estimate(checkpoint, CheckpointLocation.REMOTE);
        return new Readiness.ReadyAt(now.plus(mState.limits().drainPropagationTime()).plus(load));
    }

    /** Adds a slot whose load order is sent as soon as the plan is written. */
    void addLoading(
            Checkpoint checkpoint, RunnerCandidate candidate, SlotReason reason, Instant now) {
        mState.putWithOrder(newSlot(checkpoint, candidate, SlotState.LOADING, reason, now));
    }

    /** Adds a reserved slot, which is loaded later. */
    void addReserved(
            Checkpoint checkpoint, RunnerCandidate candidate, SlotReason reason, Instant now) {
        mState.put(newSlot(checkpoint, candidate, SlotState.RESERVED, reason, now));
    }

    private Slot newSlot(
            Checkpoint checkpoint,
            RunnerCandidate candidate,
            SlotState state,
            SlotReason reason,
            Instant now) {
        Endpoint runner = candidate.runner();
        return new Slot(
                new SlotKey(runner.id(), checkpoint.name()),
                checkpoint,
                runner.vm(),
                state,
                now,
                mState.newOrder(),
                candidate.location(),
                reason);
    }
}
