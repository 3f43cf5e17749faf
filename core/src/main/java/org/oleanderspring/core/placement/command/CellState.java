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

/**
 * The state that the components of the placement decider share: the slots of the next plan and the
 * observations of runners, VMs and calls.
 *
 * <p>The slots, the orders and what is known about their outcomes belong to one term and are
 * discarded when the next one starts; the observations are kept. An order is held back until the
 * plan with its slot is written (see {@link DefaultPlacementDecider} for the reason). The time of a
 * release is recorded, because a report made before it may arrive later and must not be taken for
 * an unknown replica.
 */
final class CellState {
    /**
     * The time for which the release of a slot is recorded. Reports arrive with a shorter delay,
     * because a runner that has not reported for some seconds is not used.
     */
    private static final Duration RELEASE_RETENTION = Duration.ofMinutes(5);

    private final OrderSender mSelf;
    private final SlotTable mSlots = new SlotTable();
    private final PlacementFleetState mFleet;
    private final UsageTracker mUsage = new UsageTracker();
    private final PendingActivations mActivations = new PendingActivations();
    private final LoadTimeEstimator mLoadTimes = new LoadTimeEstimator();
    private final RetryBackOff mBackOff = new RetryBackOff();
    private final OrderOutcomeTracker mOutcomes = new OrderOutcomeTracker();
    private final LoadAdmission mAdmission = new LoadAdmission();
    private final DrainTracker mDrains = new DrainTracker();
    private final TreeMap<ModelName, Checkpoint> mCatalogue = new TreeMap<>();
    private final Map<SlotKey, Instant> mReleasedAt = new HashMap<>();
    private final TreeMap<SlotKey, Slot> mUnsent = new TreeMap<>();
    private final Set<SlotKey> mRevertible = new HashSet<>();
    private PlacementLimits mLimits = PlacementLimits.DEFAULT;
    private FencingToken mTerm = FencingToken.NONE;
    private Instant mTermStart = Instant.MIN;
    private long mOrderCount;

    CellState(CellName cell, OrderSender self) {
        mSelf = self;
        mFleet = new PlacementFleetState(cell);
    }

    /**
     * Starts a term with the slots of its first plan and discards the state of the previous term.
     */
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

    UsageTracker usage() {
        return mUsage;
    }

    PendingActivations activations() {
        return mActivations;
    }

    LoadTimeEstimator loadTimes() {
        return mLoadTimes;
    }

    RetryBackOff backOff() {
        return mBackOff;
    }

    OrderOutcomeTracker outcomes() {
        return mOutcomes;
    }

    LoadAdmission admission() {
        return mAdmission;
    }

    DrainTracker drains() {
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

    /** Creates an order with a new identifier in the current term. */
    SlotOrder newOrder() {
        mOrderCount++;
        String id = mSelf.member() + "-" + mTerm + "-" + mOrderCount;
        return new SlotOrder(new OrderId(id), mTerm, mSelf);
    }

    /** Adds a slot or replaces the slot with the same key. */
    void put(Slot slot) {
        mSlots.put(slot);
        mAdmission.track(slot);
        if (slot.state() != SlotState.DRAINING) {
            mDrains.remove(slot.key());
            mRevertible.remove(slot.key());
        }
    }

    /** Adds or replaces a slot whose order is sent as soon as the plan is written. */
    void putWithOrder(Slot slot) {
        Slot previous = mSlots.get(slot.key());
        if (previous != null) {
            mOutcomes.remove(previous.order().id());
        }
        put(slot);
        mUnsent.put(slot.key(), slot);
        if (slot.state() == SlotState.LOADING) {
            mAdmission.loadDecided(slot);
        }
    }

    /** Removes a slot after its unload was confirmed or when its load can no longer happen. */
    void release(Slot slot, Instant now) {
        mSlots.remove(slot.key());
        mAdmission.remove(slot.key());
        mDrains.remove(slot.key());
        mRevertible.remove(slot.key());
        mOutcomes.remove(slot.order().id());
        mReleasedAt.put(slot.key(), now);
    }

    /** Discards the release times that are older than any report that can still arrive. */
    void expireReleases(Instant now) {
        mReleasedAt.values().removeIf(at -> at.plus(RELEASE_RETENTION).isBefore(now));
    }

    /**
     * Returns the time of the last release of a slot with this key in this term, or the start of
     * the term.
     */
    Instant releasedAt(SlotKey key) {
        return mReleasedAt.getOrDefault(key, mTermStart);
    }

    /** Changes a ready slot to draining. It may become ready again until its unload is decided. */
    void drain(Slot slot, Instant now) {
        put(slot.withState(SlotState.DRAINING, now));
        mRevertible.add(slot.key());
    }

    /**
     * Returns whether a draining slot can become ready again, which holds while no unload was
     * ordered since it was last ready.
     */
    boolean isRevertible(SlotKey key) {
        return mRevertible.contains(key);
    }

    /** Returns and clears the slots whose orders wait for the plan to be written. */
    List<Slot> takeUnsent() {
        List<Slot> unsent = List.copyOf(mUnsent.values());
        mUnsent.clear();
        return unsent;
    }

    /** Returns the memory of the runner's VM that no slot reserves, in megabytes. */
    long freeMegabytes(Endpoint runner) {
        Vm vm = mFleet.vm(runner.vm());
        return vm == null ? 0 : vm.memoryMegabytes() - mSlots.megabytesOn(runner.vm());
    }
}
