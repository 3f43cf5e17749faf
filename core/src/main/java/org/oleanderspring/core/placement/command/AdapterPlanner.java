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
 * Places adapters on runners that hold their base models. If the base is still loading, the memory
 * of the adapter is reserved at once, and the adapter is loaded when the base is ready.
 */
final class AdapterPlanner {
    private final CellState mState;
    private final LoadReservations mReservations;

    AdapterPlanner(CellState state, LoadReservations reservations) {
        mState = state;
        mReservations = reservations;
    }

    /**
     * Orders the loads of reserved adapters whose base is ready. Releases the reservations whose
     * base is gone or is being unloaded, and those above the replica limit.
     */
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

    /**
     * Reserves a slot for an adapter, and for its base model if necessary.
     *
     * @return null if a slot was reserved, otherwise the estimate of when the adapter can be ready
     */
    @Nullable Readiness place(LoadRequest request, CapacityFinder capacity, Instant now) {
        Checkpoint adapter = request.checkpoint();
        ModelName baseName = adapter.base();
        Checkpoint base = baseName == null ? null : mState.checkpoint(baseName);
        if (base == null) {
            return new Readiness.NotPossible(UnreadyReason.UNKNOWN_CHECKPOINT);
        }
        Readiness onBaseRunner = placeOnBaseRunner(request, base, capacity, now);
        if (!(onBaseRunner instanceof Readiness.NotPossible)) {
            return onBaseRunner;
        }
        int baseLimit = mState.limits().forModel(base.name()).replicaLimit();
        if (mState.slots().countOf(base.name()) < baseLimit) {
            return placeWithBase(request, base, capacity, now);
        }
        boolean isAnyServing = mState.slots().countOf(base.name(), ReplicaDemand.SERVING) > 0;
        return isAnyServing ? onBaseRunner : estimateAtBaseReplicaLimit(base, now);
    }

    private @Nullable Readiness placeOnBaseRunner(
            LoadRequest request, Checkpoint base, CapacityFinder capacity, Instant now) {
        Checkpoint adapter = request.checkpoint();
        long megabytes = adapter.memoryMegabytes();
        RunnerCandidate ready =
                capacity.findRunner(
                        adapter,
                        megabytes,
                        candidate -> holdsBase(candidate, base, SlotState.READY),
                        now);
        if (ready != null) {
            return loadOnBaseRunner(request, ready, capacity, now);
        }
        RunnerCandidate loading =
                capacity.findRunner(
                        adapter,
                        megabytes,
                        candidate -> holdsBase(candidate, base, SlotState.LOADING),
                        now);
        if (loading != null) {
            mReservations.addReserved(adapter, loading, request.reason(), now);
            return null;
        }
        Predicate<Endpoint> hasBase = runner -> servesBase(runner, base);
        if (capacity.makeRoom(adapter.name(), megabytes, hasBase, true, now)) {
            return mReservations.estimateAfterDraining(adapter, now);
        }
        return new Readiness.NotPossible(UnreadyReason.NO_MEMORY);
    }

    private @Nullable Readiness loadOnBaseRunner(
            LoadRequest request, RunnerCandidate candidate, CapacityFinder capacity, Instant now) {
        Checkpoint adapter = request.checkpoint();
        if (mState.admission().admitsAdapter(mState.limits().loads())) {
            mReservations.addLoading(adapter, candidate, request.reason(), now);
            return null;
        }
        capacity.claim(candidate.runner(), adapter.memoryMegabytes());
        return new Readiness.ReadyAt(
                now.plus(mState.loadTimes().estimate(adapter, candidate.location())));
    }

    private boolean holdsBase(RunnerCandidate candidate, Checkpoint base, SlotState state) {
        Slot slot = mState.slots().get(new SlotKey(candidate.runner().id(), base.name()));
        return slot != null && slot.state() == state;
    }

    private boolean servesBase(Endpoint runner, Checkpoint base) {
        Slot slot = mState.slots().get(new SlotKey(runner.id(), base.name()));
        return slot != null && ReplicaDemand.SERVING.contains(slot.state());
    }

    private @Nullable Readiness placeWithBase(
            LoadRequest request, Checkpoint base, CapacityFinder capacity, Instant now) {
        Checkpoint adapter = request.checkpoint();
        long totalMegabytes = base.memoryMegabytes() + adapter.memoryMegabytes();
        Readiness readiness =
                mReservations.place(
                        base, totalMegabytes, SlotReason.BASE_OF_ADAPTER, capacity, now);
        if (readiness != null) {
            return readiness;
        }
        return placeOnBaseRunner(request, base, capacity, now);
    }

    /**
     * Returns the estimate for an adapter whose base is at its replica limit without a replica that
     * serves calls. If a replica of the base is being unloaded, the base can be loaded afterwards.
     */
    private Readiness estimateAtBaseReplicaLimit(Checkpoint base, Instant now) {
        for (Slot slot : mState.slots().named(base.name())) {
            if (slot.state() == SlotState.DRAINING || slot.state() == SlotState.UNLOADING) {
                return mReservations.estimateAfterDraining(base, now);
            }
        }
        return new Readiness.NotPossible(UnreadyReason.REPLICA_LIMIT);
    }
}
