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
 * Drains replicas that should go, and orders the unload of drained ones.
 *
 * <p>An unload is ordered when the draining slot was in the written plan for the draining notice
 * and a report made after that shows no active call. Routers that heard the plan within the notice
 * send nothing new after that time, so the replica stays without calls.
 */
final class UnloadPlanner {
    /** How long a replica of an old version waits for memory for the new one beside it. */
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

    /** Changes the slots of the next plan. */
    void plan(Instant now) {
        drainLost(now);
        for (ModelName name : mState.slots().names()) {
            drainExcess(name, now);
            drainOutdated(name, now);
            drainIdle(name, now);
        }
        unloadDrained(now);
    }

    private void drainLost(Instant now) {
        for (Slot slot : mState.slots().all()) {
            if (slot.state() != SlotState.READY) {
                continue;
            }
            boolean isLeaving = mState.fleet().isLeaving(slot.key().runner());
            if (isLeaving || lacksBase(slot)) {
                mState.drain(slot, now);
            }
        }
    }

    private boolean lacksBase(Slot slot) {
        if (!slot.checkpoint().isAdapter()) {
            return false;
        }
        Slot base = AdapterSlots.baseOf(mState.slots(), slot);
        return base == null || base.state() != SlotState.READY;
    }

    private void drainExcess(ModelName name, Instant now) {
        int going =
                mState.slots().countOf(name) - mState.slots().countOf(name, ReplicaDemand.SERVING);
        int excess =
                mState.slots().countOf(name)
                        - mState.limits().forModel(name).replicaLimit()
                        - going;
        if (excess <= 0) {
            return;
        }
        List<Slot> ready = byActiveCalls(readySlots(name));
        for (int i = 0; i < Math.min(excess, ready.size()); i++) {
            mState.drain(ready.get(i), now);
        }
    }

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
        boolean isGoing = mState.slots().countOf(name) > readySlots(name).size();
        if (outdated.isEmpty() || (isGoing && !isReplaced)) {
            return;
        }
        Slot first = outdated.get(0);
        if (isReplaced || mustMakeWay(first, now)) {
            mState.drain(first, now);
            mOutdatedSince.remove(first.key());
        }
    }

    /** Returns whether an old replica goes before a new one is there. */
    private boolean mustMakeWay(Slot slot, Instant now) {
        ModelName name = slot.key().name();
        boolean isFull =
                mState.slots().countOf(name) >= mState.limits().forModel(name).replicaLimit();
        boolean isUnused = mState.use().demand(name) == 0 && !mState.wakes().contains(name);
        Instant since = mOutdatedSince.getOrDefault(slot.key(), now);
        boolean isOverdue = since.plus(REPLACEMENT_WAIT).isBefore(now);
        boolean hasMinimum = mState.limits().forModel(name).minimumReplicas() > 0;
        return isFull || isOverdue || (isUnused && !hasMinimum);
    }

    private void drainIdle(ModelName name, Instant now) {
        List<Slot> ready = readySlots(name);
        int minimum = mState.limits().forModel(name).minimumReplicas();
        if (ready.size() <= minimum || mState.wakes().contains(name)) {
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
            if (!AdapterSlots.hasAny(mState.slots(), slot)) {
                return slot;
            }
        }
        return null;
    }

    private boolean isNeeded(ModelName name, List<Slot> ready, Instant now) {
        ModelActivity activity = mState.use().of(name);
        Instant needed = activity == null ? Instant.MIN : activity.lastNeeded(ready.size());
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
        return needed.plus(keepAlive(checkpoint, activity)).isAfter(now);
    }

    private Duration keepAlive(Checkpoint checkpoint, @Nullable ModelActivity activity) {
        ArrivalHistory history = activity == null ? new ArrivalHistory() : activity.history();
        KeepAliveLimits limits = mState.limits().keepAlive();
        Duration coldStart = mDemand.coldStart(checkpoint);
        return mPolicies.keepAlive().keepAlive(history, mState.use().pool(), coldStart, limits);
    }

    /** Returns the ready replicas of a name. */
    private List<Slot> readySlots(ModelName name) {
        List<Slot> ready = new ArrayList<>();
        for (Slot slot : mState.slots().named(name)) {
            if (slot.state() == SlotState.READY) {
                ready.add(slot);
            }
        }
        return ready;
    }

    /** Sorts replicas so that those with the fewest calls come first. */
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
        boolean isLate =
                report.madeAt().isAfter(writtenAt.plus(mState.limits().drainPropagationTime()));
        return isLate
                && loaded != null
                && loaded.activeCalls() == 0
                && !AdapterSlots.hasAny(mState.slots(), slot);
    }
}
