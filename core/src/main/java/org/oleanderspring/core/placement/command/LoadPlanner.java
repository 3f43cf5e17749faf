package org.oleanderspring.core.placement.command;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;
import org.jspecify.annotations.Nullable;
import org.oleanderspring.core.fleet.Checkpoint;
import org.oleanderspring.core.fleet.ModelName;
import org.oleanderspring.core.placement.ModelLimits;
import org.oleanderspring.core.placement.Readiness;
import org.oleanderspring.core.placement.Slot;
import org.oleanderspring.core.placement.SlotReason;
import org.oleanderspring.core.placement.SlotState;
import org.oleanderspring.core.placement.UnreadyReason;

/** Reserves slots for missing replicas and estimates when woken models become ready. */
final class LoadPlanner {
    /**
     * The requests for which runners are searched in one pass. Each search goes over all runners of
     * the cell, and the weight store admits fewer loads than this at once, so later requests only
     * get an estimate.
     */
    private static final int REQUESTS_PER_PASS = 64;

    /**
     * A slot takes about 315 bytes in the JSON of a plan, and the key-value service holds 1 MB in
     * one value.
     */
    private static final int SLOT_LIMIT = 3_000;

    private final CellState mState;
    private final PlacementPolicies mPolicies;
    private final ReplicaDemand mDemand;
    private final LoadReservations mReservations;
    private final AdapterPlanner mAdapters;

    LoadPlanner(CellState state, PlacementPolicies policies, ReplicaDemand demand) {
        mState = state;
        mPolicies = policies;
        mDemand = demand;
        mReservations = new LoadReservations(state);
        mAdapters = new AdapterPlanner(state, mReservations);
    }

    /** Reserves what fits; returns the estimates for the models that could not be reserved. */
    TreeMap<ModelName, Readiness> plan(Instant now) {
        mAdapters.promote(now);
        RoomFinder room = new RoomFinder(mState, mPolicies);
        TreeMap<ModelName, Readiness> pending = new TreeMap<>();
        List<LoadRequest> requests = new ArrayList<>(mDemand.missing(now));
        requests.sort(mPolicies.loadOrder().order());
        for (int i = 0; i < requests.size(); i++) {
            LoadRequest request = requests.get(i);
            Readiness readiness =
                    i < REQUESTS_PER_PASS
                            ? place(request, room, now)
                            : new Readiness.ReadyAt(request.expectedReady());
            if (readiness != null) {
                pending.put(request.checkpoint().name(), delayed(readiness, pending.size()));
            }
        }
        return pending;
    }

    /** Adds the time that loads before this one in the queue take. */
    private Readiness delayed(Readiness readiness, int ahead) {
        if (!(readiness instanceof Readiness.ReadyAt ready)) {
            return readiness;
        }
        int rounds = ahead / mState.limits().loads().concurrentLoads();
        long perSecond = mState.limits().loads().loadsPerSecond();
        Duration queue = Duration.ofMillis(1000L * ahead / perSecond);
        return new Readiness.ReadyAt(ready.at().plus(queue.multipliedBy(rounds > 0 ? 2 : 1)));
    }

    private @Nullable Readiness place(LoadRequest request, RoomFinder room, Instant now) {
        Checkpoint checkpoint = request.checkpoint();
        ModelLimits limits = mState.limits().forModel(checkpoint.name());
        if (request.reason() != SlotReason.NEW_VERSION && revive(checkpoint, now)) {
            return null;
        }
        if (mState.slots().countOf(checkpoint.name()) >= limits.replicaLimit()) {
            return full(checkpoint, now);
        }
        if (mState.slots().size() >= SLOT_LIMIT) {
            return new Readiness.NotPossible(UnreadyReason.PLAN_FULL);
        }
        return checkpoint.isAdapter()
                ? mAdapters.place(request, room, now)
                : mReservations.place(
                        checkpoint, checkpoint.memoryMegabytes(), request.reason(), room, now);
    }

    /** Makes a draining replica ready again if no unload was decided. */
    private boolean revive(Checkpoint checkpoint, Instant now) {
        for (Slot slot : List.copyOf(mState.slots().named(checkpoint.name()))) {
            if (isRevivable(slot, checkpoint) && reviveBase(slot, now)) {
                mState.put(slot.withState(SlotState.READY, now));
                return true;
            }
        }
        return false;
    }

    private boolean isRevivable(Slot slot, Checkpoint checkpoint) {
        return slot.state() == SlotState.DRAINING
                && mState.isRevertible(slot.key())
                && slot.checkpoint().version().equals(checkpoint.version())
                && mState.fleet().runner(slot.key().runner()) != null
                && !mState.fleet().isLeaving(slot.key().runner());
    }

    private boolean reviveBase(Slot adapter, Instant now) {
        if (!adapter.checkpoint().isAdapter()) {
            return true;
        }
        Slot base = AdapterSlots.baseOf(mState.slots(), adapter);
        if (base == null || base.state() == SlotState.READY) {
            return base != null;
        }
        Checkpoint listed = mState.checkpoint(base.key().name());
        if (listed == null || !isRevivable(base, listed)) {
            return false;
        }
        mState.put(base.withState(SlotState.READY, now));
        return true;
    }

    /** The replica limit is reached; slots that end soon leave a place. */
    private Readiness full(Checkpoint checkpoint, Instant now) {
        for (Slot slot : mState.slots().named(checkpoint.name())) {
            if (slot.state() == SlotState.DRAINING || slot.state() == SlotState.UNLOADING) {
                return mReservations.afterDraining(checkpoint, now);
            }
        }
        return new Readiness.NotPossible(UnreadyReason.REPLICA_LIMIT);
    }
}
