package org.oleanderspring.core.placement.command;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.jspecify.annotations.Nullable;
import org.oleanderspring.core.fleet.Checkpoint;
import org.oleanderspring.core.fleet.LoadedCheckpoint;
import org.oleanderspring.core.fleet.ModelName;
import org.oleanderspring.core.fleet.RunnerReport;
import org.oleanderspring.core.placement.KeepAliveLimits;
import org.oleanderspring.core.placement.Slot;
import org.oleanderspring.core.placement.SlotKey;
import org.oleanderspring.core.placement.SlotState;

/**
 * Drains replicas that should be unloaded, and orders the unload of drained ones.
 *
 * <p>The unload is ordered once the written plan has shown the slot as draining for the drain
 * propagation time and a report made after that shows no active calls. By then all routers know the
 * plan and send no new calls to the replica, so it stays idle.
 */
final class UnloadPlanner {
    /**
     * The time for which an old version stays loaded if there is no memory to load the new version
     * in addition.
     */
    private static final Duration REPLACEMENT_WAIT = Duration.ofMinutes(1);

    private final CellState mState;
    private final PlacementPolicies mPolicies;
    private final ReplicaDemand mDemand;
    private final Map<SlotKey, Instant> mOutdatedSince = new HashMap<>();

    UnloadPlanner(CellState state, PlacementPolicies policies, ReplicaDemand demand) {
        mState = state;
        mPolicies = policies;
        mDemand = demand;
    }

    /** Applies all unload decisions to the slots of the next plan. */
    void plan(Instant now) {
        drainUnusable(now);
        for (ModelName name : mState.slots().names()) {
            drainExcess(name, now);
            drainOutdated(name, now);
            drainIdle(name, now);
        }
        unloadDrained(now);
    }

    /** Drains replicas on runners that are leaving, and adapters without a ready base. */
    private void drainUnusable(Instant now) {
        for (Slot slot : mState.slots().all()) {
            if (slot.state() != SlotState.READY) {
                continue;
            }
            boolean isLeaving = mState.fleet().isLeaving(slot.key().runner());
            if (isLeaving || lacksReadyBase(slot)) {
                mState.drain(slot, now);
            }
        }
    }

    private boolean lacksReadyBase(Slot slot) {
        if (!slot.checkpoint().isAdapter()) {
            return false;
        }
        Slot base = AdapterSlots.baseOf(mState.slots(), slot);
        return base == null || base.state() != SlotState.READY;
    }

    /** Drains the replicas above the replica limit; slots that are unloaded anyway do not count. */
    private void drainExcess(ModelName name, Instant now) {
        int notServing =
                mState.slots().countOf(name) - mState.slots().countOf(name, ReplicaDemand.SERVING);
        int excess =
                mState.slots().countOf(name)
                        - mState.limits().forModel(name).replicaLimit()
                        - notServing;
        if (excess <= 0) {
            return;
        }
        List<Slot> ready = byActiveCalls(readySlots(name));
        for (int i = 0; i < Math.min(excess, ready.size()); i++) {
            mState.drain(ready.get(i), now);
        }
    }

    /**
     * Drains one replica of an old version if a replica of the current version is ready, or if it
     * must be drained before one can be loaded.
     */
    private void drainOutdated(ModelName name, Instant now) {
        Checkpoint listed = mState.checkpoint(name);
        if (listed == null) {
            return;
        }
        List<Slot> outdated = new ArrayList<>();
        boolean isReplaced = false;
        for (Slot slot : readySlots(name)) {
            if (slot.checkpoint().version().equals(listed.version())) {
                mOutdatedSince.remove(slot.key());
                isReplaced = true;
            } else {
                outdated.add(slot);
                mOutdatedSince.putIfAbsent(slot.key(), now);
            }
        }
        boolean hasSlotInTransition = mState.slots().countOf(name) > readySlots(name).size();
        if (outdated.isEmpty() || (hasSlotInTransition && !isReplaced)) {
            return;
        }
        Slot first = outdated.get(0);
        if (isReplaced || mustDrainFirst(first, now)) {
            mState.drain(first, now);
            mOutdatedSince.remove(first.key());
        }
    }

    /**
     * Returns whether a replica of an old version must be drained before a replica of the new
     * version is ready.
     */
    private boolean mustDrainFirst(Slot slot, Instant now) {
        ModelName name = slot.key().name();
        boolean isFull =
                mState.slots().countOf(name) >= mState.limits().forModel(name).replicaLimit();
        boolean isUnused = mState.usage().demand(name) == 0 && !mState.activations().contains(name);
        Instant since = mOutdatedSince.getOrDefault(slot.key(), now);
        boolean isOverdue = since.plus(REPLACEMENT_WAIT).isBefore(now);
        boolean hasMinimum = mState.limits().forModel(name).minimumReplicas() > 0;
        return isFull || isOverdue || (isUnused && !hasMinimum);
    }

    /** Drains one replica above the minimum if fewer replicas are sufficient. */
    private void drainIdle(ModelName name, Instant now) {
        List<Slot> ready = readySlots(name);
        int minimum = mState.limits().forModel(name).minimumReplicas();
        if (ready.size() <= minimum || mState.activations().contains(name)) {
            return;
        }
        if (isNeeded(name, ready, now)) {
            return;
        }
        Slot candidate = firstWithoutAdapters(byActiveCalls(ready));
        if (candidate != null) {
            mState.drain(candidate, now);
        }
    }

    private @Nullable Slot firstWithoutAdapters(List<Slot> ready) {
        for (Slot slot : ready) {
            if (!AdapterSlots.hasAdapters(mState.slots(), slot)) {
                return slot;
            }
        }
        return null;
    }

    /**
     * Returns whether as many replicas as are ready were needed within the keep-alive time, or the
     * keep-alive policy expects calls for the only replica soon.
     */
    private boolean isNeeded(ModelName name, List<Slot> ready, Instant now) {
        ModelTraffic traffic = mState.usage().of(name);
        Instant needed = traffic == null ? Instant.MIN : traffic.lastNeeded(ready.size());
        for (Slot slot : ready) {
            needed = slot.since().isAfter(needed) ? slot.since() : needed;
        }
        if (needed.plus(mState.limits().keepAlive().shortest()).isAfter(now)) {
            return true;
        }
        Checkpoint checkpoint = ready.get(0).checkpoint();
        if (ready.size() == 1 && mDemand.expectsUse(checkpoint, now)) {
            return true;
        }
        return needed.plus(keepAlive(checkpoint, traffic)).isAfter(now);
    }

    private Duration keepAlive(Checkpoint checkpoint, @Nullable ModelTraffic traffic) {
        UsageHistory history = traffic == null ? new UsageHistory() : traffic.history();
        KeepAliveLimits limits = mState.limits().keepAlive();
        Duration coldStart = mDemand.coldStartTime(checkpoint);
        return mPolicies.keepAlive().keepAlive(history, mState.usage().pool(), coldStart, limits);
    }

    /** Returns the ready replicas of a model or adapter. */
    private List<Slot> readySlots(ModelName name) {
        List<Slot> ready = new ArrayList<>();
        for (Slot slot : mState.slots().named(name)) {
            if (slot.state() == SlotState.READY) {
                ready.add(slot);
            }
        }
        return ready;
    }

    /** Sorts replicas by the number of active calls, fewest first. */
    private List<Slot> byActiveCalls(List<Slot> ready) {
        ready.sort(Comparator.comparingInt(this::activeCalls));
        return ready;
    }

    private int activeCalls(Slot slot) {
        RunnerReport report = mState.fleet().reportOf(slot.key().runner());
        LoadedCheckpoint loaded =
                report == null ? null : PlacementFleetState.loaded(report, slot.key().name());
        return loaded == null ? 0 : loaded.activeCalls();
    }

    private void unloadDrained(Instant now) {
        for (Slot slot : mState.slots().all()) {
            if (slot.state() == SlotState.DRAINING && isDrained(slot, now)) {
                mState.putWithOrder(slot.withOrder(SlotState.UNLOADING, now, mState.newOrder()));
            }
        }
    }

    private boolean isDrained(Slot slot, Instant now) {
        Instant writtenAt = mState.drains().writtenAt(slot.key());
        RunnerReport report = mState.fleet().reportOf(slot.key().runner());
        if (writtenAt == null || report == null || mState.backOff().isPaused(slot.key(), now)) {
            return false;
        }
        LoadedCheckpoint loaded = PlacementFleetState.loaded(report, slot.key().name());
        boolean isAfterPropagation =
                report.madeAt().isAfter(writtenAt.plus(mState.limits().drainPropagationTime()));
        return isAfterPropagation
                && loaded != null
                && loaded.activeCalls() == 0
                && !AdapterSlots.hasAdapters(mState.slots(), slot);
    }
}
