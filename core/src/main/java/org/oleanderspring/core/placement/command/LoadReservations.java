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

/** Adds slots for loads to the next plan. */
final class LoadReservations {
    private final CellState mState;

    LoadReservations(CellState state) {
        mState = state;
    }

    /**
     * Reserves a model on the preferred runner that has {@code megabytes} free and that the weight
     * store admits.
     *
     * @return null if the load was reserved, otherwise when it may be
     */
    @Nullable Readiness place(
            Checkpoint checkpoint,
            long megabytes,
            SlotReason reason,
            RoomFinder room,
            Instant now) {
        RunnerCandidate admitted =
                room.find(checkpoint, megabytes, candidate -> admits(candidate, now), now);
        if (admitted != null) {
            load(checkpoint, admitted, reason, now);
            return null;
        }
        RunnerCandidate fitting = room.find(checkpoint, megabytes, candidate -> true, now);
        if (fitting != null) {
            room.claim(fitting.runner(), megabytes);
            Duration load = mState.loadTimes().estimate(checkpoint, fitting.location());
            return new Readiness.ReadyAt(now.plus(load));
        }
        return waitForRoom(checkpoint, megabytes, reason, room, now);
    }

    private Readiness waitForRoom(
            Checkpoint checkpoint,
            long megabytes,
            SlotReason reason,
            RoomFinder room,
            Instant now) {
        Predicate<Endpoint> any = runner -> true;
        boolean mayEvict = reason != SlotReason.PREWARM && reason != SlotReason.NEW_VERSION;
        if (room.makeRoom(checkpoint.name(), megabytes, any, mayEvict, now)) {
            return afterDraining(checkpoint, now);
        }
        boolean hasRunner = room.hasRunner(checkpoint.name(), any, now);
        return new Readiness.NotPossible(
                hasRunner ? UnreadyReason.NO_MEMORY : UnreadyReason.NO_RUNNER);
    }

    private boolean admits(RunnerCandidate candidate, Instant now) {
        return mState.admission().admitsModel(candidate.location(), mState.limits().loads(), now);
    }

    /** Returns when a load is ready that starts after a draining slot is unloaded. */
    Readiness afterDraining(Checkpoint checkpoint, Instant now) {
        Duration load = mState.loadTimes().estimate(checkpoint, CheckpointLocation.REMOTE);
        return new Readiness.ReadyAt(now.plus(mState.limits().drainPropagationTime()).plus(load));
    }

    /** Adds a slot that is loaded once the plan is written. */
    void load(Checkpoint checkpoint, RunnerCandidate candidate, SlotReason reason, Instant now) {
        mState.putWithOrder(slot(checkpoint, candidate, SlotState.LOADING, reason, now));
    }

    /** Adds a slot that is loaded later. */
    void reserve(Checkpoint checkpoint, RunnerCandidate candidate, SlotReason reason, Instant now) {
        mState.put(slot(checkpoint, candidate, SlotState.RESERVED, reason, now));
    }

    private Slot slot(
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
