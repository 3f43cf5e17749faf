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

/** Reserves slots for missing replicas and estimates when models become ready for waiting calls. */
final class LoadPlanner {
    /**
     * The number of requests per pass for which a runner is searched. A search iterates over all
     * runners of the cell, and the weight store admits fewer concurrent loads than this, so further
     * requests only get an estimate.
     */
    private static final int REQUESTS_PER_PASS = 64;

    /**
     * The maximum number of slots in a plan. A slot takes about 315 bytes in the JSON form of a
     * plan, and the key-value service limits a value to 1 MB.
     */
    private static final int SLOT_LIMIT = 3_000;

    private final CellState mState;
    private final PlacementPolicies mPolicies;
    private final ReplicaDemand mDemand;
    private final LoadReservations mReservations;
    private final AdapterPlanner mAdapterPlanner;

    LoadPlanner(CellState state, PlacementPolicies policies, ReplicaDemand demand) {
        mState = state;
        mPolicies = policies;
        mDemand = demand;
        mReservations = new LoadReservations(state);
        mAdapterPlanner = new AdapterPlanner(state, mReservations);
    }

    /**
     * Reserves slots for the requests that fit. Returns the estimates for the models whose requests
     * could not be reserved.
     */
    TreeMap<ModelName, Readiness> plan(Instant now) {
        mAdapterPlanner.promote(now);
        CapacityFinder capacity = new CapacityFinder(mState, mPolicies);
        TreeMap<ModelName, Readiness> pending = new TreeMap<>();
        List<LoadRequest> requests = new ArrayList<>(mDemand.missingReplicas(now));
        requests.sort(mPolicies.loadOrder().order());
        for (int i = 0; i < requests.size(); i++) {
            LoadRequest request = requests.get(i);
            Readiness readiness =
                    i < REQUESTS_PER_PASS
                            ? place(request, capacity, now)
                            : new Readiness.ReadyAt(request.expectedReady());
            if (readiness != null) {
                pending.put(request.checkpoint().name(), addQueueDelay(readiness, pending.size()));
            }
        }
        return pending;
    }

    /**
     * Adds the time in which the limit of loads per second admits the {@code ahead} preceding loads
     * in the queue. The time is doubled if they cannot all run concurrently with this load.
     */
    private Readiness addQueueDelay(Readiness readiness, int ahead) {
        if (!(readiness instanceof Readiness.ReadyAt ready)) {
            return readiness;
        }
        int rounds = ahead / mState.limits().loads().concurrentLoads();
        long perSecond = mState.limits().loads().loadsPerSecond();
        Duration queueTime = Duration.ofMillis(1000L * ahead / perSecond);
        return new Readiness.ReadyAt(ready.at().plus(queueTime.multipliedBy(rounds > 0 ? 2 : 1)));
    }

    private @Nullable Readiness place(LoadRequest request, CapacityFinder capacity, Instant now) {
        Checkpoint checkpoint = request.checkpoint();
        ModelLimits limits = mState.limits().forModel(checkpoint.name());
        if (request.reason() != SlotReason.NEW_VERSION && reactivate(checkpoint, now)) {
            return null;
        }
        if (mState.slots().countOf(checkpoint.name()) >= limits.replicaLimit()) {
            return estimateAtReplicaLimit(checkpoint, now);
        }
        if (mState.slots().size() >= SLOT_LIMIT) {
            return new Readiness.NotPossible(UnreadyReason.PLAN_FULL);
        }
        return checkpoint.isAdapter()
                ? mAdapterPlanner.place(request, capacity, now)
                : mReservations.place(
                        checkpoint, checkpoint.memoryMegabytes(), request.reason(), capacity, now);
    }

    /** Changes a draining replica back to ready if no unload was decided for it. */
    private boolean reactivate(Checkpoint checkpoint, Instant now) {
        for (Slot slot : List.copyOf(mState.slots().named(checkpoint.name()))) {
            if (isReactivatable(slot, checkpoint) && reactivateBase(slot, now)) {
                mState.put(slot.withState(SlotState.READY, now));
                return true;
            }
        }
        return false;
    }

    private boolean isReactivatable(Slot slot, Checkpoint checkpoint) {
        return slot.state() == SlotState.DRAINING
                && mState.isRevertible(slot.key())
                && slot.checkpoint().version().equals(checkpoint.version())
                && mState.fleet().runner(slot.key().runner()) != null
                && !mState.fleet().isLeaving(slot.key().runner());
    }

    private boolean reactivateBase(Slot adapter, Instant now) {
        if (!adapter.checkpoint().isAdapter()) {
            return true;
        }
        Slot base = AdapterSlots.baseOf(mState.slots(), adapter);
        if (base == null || base.state() == SlotState.READY) {
            return base != null;
        }
        Checkpoint listed = mState.checkpoint(base.key().name());
        if (listed == null || !isReactivatable(base, listed)) {
            return false;
        }
        mState.put(base.withState(SlotState.READY, now));
        return true;
    }

    /**
     * Returns the estimate for a model whose replica limit is reached. If one of its slots is being
     * unloaded, a new replica can be loaded afterwards.
     */
    private Readiness estimateAtReplicaLimit(Checkpoint checkpoint, Instant now) {
        for (Slot slot : mState.slots().named(checkpoint.name())) {
            if (slot.state() == SlotState.DRAINING || slot.state() == SlotState.UNLOADING) {
                return mReservations.estimateAfterDraining(checkpoint, now);
            }
        }
        return new Readiness.NotPossible(UnreadyReason.REPLICA_LIMIT);
    }
}
