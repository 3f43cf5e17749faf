package org.oleanderspring.core.placement.command;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.jspecify.annotations.Nullable;
import org.oleanderspring.coordination.lease.FencingToken;
import org.oleanderspring.core.fleet.CellName;
import org.oleanderspring.core.fleet.Checkpoint;
import org.oleanderspring.core.fleet.Endpoint;
import org.oleanderspring.core.fleet.ModelName;
import org.oleanderspring.core.fleet.Vm;
import org.oleanderspring.core.placement.OrderId;
import org.oleanderspring.core.placement.OrderSender;
import org.oleanderspring.core.placement.PlacementLimits;
import org.oleanderspring.core.placement.Slot;
import org.oleanderspring.core.placement.SlotKey;
import org.oleanderspring.core.placement.SlotOrder;
import org.oleanderspring.core.placement.SlotState;

/** What the parts of the decider share: the slots of the next plan and all that was observed. */
final class CellState {
    /** Reports are less late than this, since a runner that is silent for seconds is not used. */
    private static final Duration RELEASE_MEMORY = Duration.ofMinutes(5);

    private final OrderSender mSelf;
    private final SlotTable mSlots = new SlotTable();
    private final PlacementFleetState mFleet;
    private final UseBook mUse = new UseBook();
    private final PendingActivations mWakes = new PendingActivations();
    private final LoadTimes mLoadTimes = new LoadTimes();
    private final RetryBackOff mBackOff = new RetryBackOff();
    private final OrderOutcomes mOutcomes = new OrderOutcomes();
    private final LoadAdmission mAdmission = new LoadAdmission();
    private final DrainClock mDrains = new DrainClock();
    private final TreeMap<ModelName, Checkpoint> mCatalogue = new TreeMap<>();
    private final Map<SlotKey, Instant> mReleasedAt = new HashMap<>();
    private final TreeMap<SlotKey, Slot> mUnsent = new TreeMap<>();
    private final Set<SlotKey> mRevertible = new HashSet<>();
    private PlacementLimits mLimits = PlacementLimits.DEFAULT;
    private FencingToken mTerm = FencingToken.NONE;
    private Instant mTermStart = Instant.MIN;
    private long mOrders;

    CellState(CellName cell, OrderSender self) {
        mSelf = self;
        mFleet = new PlacementFleetState(cell);
    }

    /** Starts a term with the slots of its first plan. */
    void startTerm(FencingToken term, List<Slot> slots, Instant now) {
        mTerm = term;
        mTermStart = now;
        mSlots.reset(slots);
        mSlots.markChanged();
        mOutcomes.reset();
        mAdmission.reset(slots, now);
        mDrains.reset();
        mReleasedAt.clear();
        mUnsent.clear();
        mRevertible.clear();
    }

    SlotTable slots() {
        return mSlots;
    }

    PlacementFleetState fleet() {
        return mFleet;
    }

    UseBook use() {
        return mUse;
    }

    PendingActivations wakes() {
        return mWakes;
    }

    LoadTimes loadTimes() {
        return mLoadTimes;
    }

    RetryBackOff backOff() {
        return mBackOff;
    }

    OrderOutcomes outcomes() {
        return mOutcomes;
    }

    LoadAdmission admission() {
        return mAdmission;
    }

    DrainClock drains() {
        return mDrains;
    }

    PlacementLimits limits() {
        return mLimits;
    }

    void setLimits(PlacementLimits limits) {
        mLimits = limits;
    }

    FencingToken term() {
        return mTerm;
    }

    Instant termStart() {
        return mTermStart;
    }

    void setCatalogue(List<Checkpoint> checkpoints) {
        mCatalogue.clear();
        checkpoints.forEach(checkpoint -> mCatalogue.put(checkpoint.name(), checkpoint));
    }

    Map<ModelName, Checkpoint> catalogue() {
        return mCatalogue;
    }

    @Nullable Checkpoint checkpoint(ModelName name) {
        return mCatalogue.get(name);
    }

    /** Returns a new order of this term. */
    SlotOrder newOrder() {
        mOrders++;
        String id = mSelf.member() + "-" + mTerm + "-" + mOrders;
        return new SlotOrder(new OrderId(id), mTerm, mSelf);
    }

    /** Adds or replaces a slot. */
    void put(Slot slot) {
        mSlots.put(slot);
        mAdmission.track(slot);
        if (slot.state() != SlotState.DRAINING) {
            mDrains.forget(slot.key());
            mRevertible.remove(slot.key());
        }
    }

    /** Adds or replaces a slot whose order is sent once the plan is written. */
    void putWithOrder(Slot slot) {
        Slot previous = mSlots.get(slot.key());
        if (previous != null) {
            mOutcomes.forget(previous.order().id());
        }
        put(slot);
        mUnsent.put(slot.key(), slot);
        if (slot.state() == SlotState.LOADING) {
            mAdmission.decided(slot);
        }
    }

    /** Removes a slot whose unload was seen or whose load certainly does not happen. */
    void release(Slot slot, Instant now) {
        mSlots.remove(slot.key());
        mAdmission.forget(slot.key());
        mDrains.forget(slot.key());
        mRevertible.remove(slot.key());
        mOutcomes.forget(slot.order().id());
        mReleasedAt.put(slot.key(), now);
    }

    /** Forgets releases that no report is late enough to predate. */
    void expireReleases(Instant now) {
        mReleasedAt.values().removeIf(at -> at.plus(RELEASE_MEMORY).isBefore(now));
    }

    /** Returns when a slot with this key was last released in this term, or the term's start. */
    Instant releasedAt(SlotKey key) {
        return mReleasedAt.getOrDefault(key, mTermStart);
    }

    /** Marks a ready slot draining; it may become ready again until its unload is decided. */
    void drain(Slot slot, Instant now) {
        put(slot.withState(SlotState.DRAINING, now));
        mRevertible.add(slot.key());
    }

    /** Returns whether a draining slot has had no unload order since it was ready. */
    boolean isRevertible(SlotKey key) {
        return mRevertible.contains(key);
    }

    /** Returns and forgets the slots whose orders wait for a written plan. */
    List<Slot> takeUnsent() {
        List<Slot> unsent = List.copyOf(mUnsent.values());
        mUnsent.clear();
        return unsent;
    }

    /** Returns the memory of the runner's VM that no slot is charged to. */
    long freeMegabytes(Endpoint runner) {
        Vm vm = mFleet.vm(runner.vm());
        return vm == null ? 0 : vm.memoryMegabytes() - mSlots.megabytesOn(runner.vm());
    }
}
