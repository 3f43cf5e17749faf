package org.oleanderspring.core.placement.command;

import java.time.Instant;
import java.util.function.Predicate;
import org.jspecify.annotations.Nullable;
import org.oleanderspring.core.fleet.Checkpoint;
import org.oleanderspring.core.fleet.Endpoint;
import org.oleanderspring.core.fleet.ModelName;
import org.oleanderspring.core.placement.Readiness;
import org.oleanderspring.core.placement.Slot;
import org.oleanderspring.core.placement.SlotKey;
import org.oleanderspring.core.placement.SlotReason;
import org.oleanderspring.core.placement.SlotState;
import org.oleanderspring.core.placement.UnreadyReason;

/**
 * Places adapters next to their base models. An adapter whose base is still loading reserves its
 * memory at once and is loaded when the base is ready.
 */
final class AdapterPlanner {
    private final CellState mState;
    private final LoadReservations mReservations;

    AdapterPlanner(CellState state, LoadReservations reservations) {
        mState = state;
        mReservations = reservations;
    }

    /** Orders the loads of reserved adapters whose base is ready; drops those without a base. */
    void promote(Instant now) {
        for (Slot slot : mState.slots().all()) {
            if (slot.state() == SlotState.RESERVED) {
                promote(slot, now);
            }
        }
    }

    private void promote(Slot slot, Instant now) {
        Slot base = AdapterSlots.baseOf(mState.slots(), slot);
        int limit = mState.limits().forModel(slot.key().name()).replicaLimit();
        boolean isOverLimit = mState.slots().countOf(slot.key().name()) > limit;
        if (base == null || isOverLimit || !ReplicaDemand.SERVING.contains(base.state())) {
            mState.release(slot, now);
            return;
        }
        boolean isAdmitted = mState.admission().admitsAdapter(mState.limits().loads());
        if (base.state() == SlotState.READY && isAdmitted) {
            mState.putWithOrder(slot.withOrder(SlotState.LOADING, now, mState.newOrder()));
        }
    }

    /** Returns null if the adapter was reserved, otherwise when it may be. */
    @Nullable Readiness place(LoadRequest request, RoomFinder room, Instant now) {
        Checkpoint adapter = request.checkpoint();
        ModelName baseName = adapter.base();
        Checkpoint base = baseName == null ? null : mState.checkpoint(baseName);
        if (base == null) {
            return new Readiness.NotPossible(UnreadyReason.UNKNOWN_CHECKPOINT);
        }
        Readiness besideBase = placeBeside(request, base, room, now);
        if (!(besideBase instanceof Readiness.NotPossible)) {
            return besideBase;
        }
        int baseLimit = mState.limits().forModel(base.name()).replicaLimit();
        if (mState.slots().countOf(base.name()) < baseLimit) {
            return placeWithBase(request, base, room, now);
        }
        boolean isAnyServing = mState.slots().countOf(base.name(), ReplicaDemand.SERVING) > 0;
        return isAnyServing ? besideBase : afterBase(base, now);
    }

    private @Nullable Readiness placeBeside(
            LoadRequest request, Checkpoint base, RoomFinder room, Instant now) {
        Checkpoint adapter = request.checkpoint();
        long megabytes = adapter.memoryMegabytes();
        RunnerCandidate ready =
                room.find(adapter, megabytes, at -> has(at, base, SlotState.READY), now);
        if (ready != null) {
            return loadBeside(request, ready, room, now);
        }
        RunnerCandidate loading =
                room.find(adapter, megabytes, at -> has(at, base, SlotState.LOADING), now);
        if (loading != null) {
            mReservations.reserve(adapter, loading, request.reason(), now);
            return null;
        }
        Predicate<Endpoint> hasBase = runner -> isServing(runner, base);
        if (room.makeRoom(adapter.name(), megabytes, hasBase, true, now)) {
            return mReservations.afterDraining(adapter, now);
        }
        return new Readiness.NotPossible(UnreadyReason.NO_MEMORY);
    }

    private @Nullable Readiness loadBeside(
            LoadRequest request, RunnerCandidate candidate, RoomFinder room, Instant now) {
        Checkpoint adapter = request.checkpoint();
        if (mState.admission().admitsAdapter(mState.limits().loads())) {
            mReservations.load(adapter, candidate, request.reason(), now);
            return null;
        }
        room.claim(candidate.runner(), adapter.memoryMegabytes());
        return new Readiness.ReadyAt(
                now.plus(mState.loadTimes().estimate(adapter, candidate.location())));
    }

    private boolean has(RunnerCandidate candidate, Checkpoint base, SlotState state) {
        Slot slot = mState.slots().get(new SlotKey(candidate.runner().id(), base.name()));
        return slot != null && slot.state() == state;
    }

    private boolean isServing(Endpoint runner, Checkpoint base) {
        Slot slot = mState.slots().get(new SlotKey(runner.id(), base.name()));
        return slot != null && ReplicaDemand.SERVING.contains(slot.state());
    }

    private @Nullable Readiness placeWithBase(
            LoadRequest request, Checkpoint base, RoomFinder room, Instant now) {
        Checkpoint adapter = request.checkpoint();
        long both = base.memoryMegabytes() + adapter.memoryMegabytes();
        Readiness readiness =
                mReservations.place(base, both, SlotReason.BASE_OF_ADAPTER, room, now);
        if (readiness != null) {
            return readiness;
        }
        return placeBeside(request, base, room, now);
    }

    private Readiness afterBase(Checkpoint base, Instant now) {
        for (Slot slot : mState.slots().named(base.name())) {
            if (slot.state() == SlotState.DRAINING || slot.state() == SlotState.UNLOADING) {
                return mReservations.afterDraining(base, now);
            }
        }
        return new Readiness.NotPossible(UnreadyReason.REPLICA_LIMIT);
    }
}
