package org.oleanderspring.core.placement.command;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.HashSet;
import java.util.Set;
import org.oleanderspring.core.fleet.CheckpointLocation;
import org.oleanderspring.core.placement.LoadLimits;
import org.oleanderspring.core.placement.Slot;
import org.oleanderspring.core.placement.SlotKey;

/**
 * Enforces the limits on loads from the weight store. Loads from memory or disk do not count,
 * because they do not use the weight store. A load counts from its decision until its outcome is
 * known, so an unsettled load counts too.
 */
final class LoadAdmission {
    /** The window for the number of loads per second. */
    private static final Duration WINDOW = Duration.ofSeconds(1);

    private final Set<SlotKey> mModelLoads = new HashSet<>();
    private final Set<SlotKey> mAdapterLoads = new HashSet<>();
    private final ArrayDeque<Instant> mStarts = new ArrayDeque<>();
    private Instant mBlockedUntil = Instant.MIN;
    private int mUnsentLoads;

    /** Clears the state for a new term and counts the loads in the slots of its first plan. */
    void reset(Iterable<Slot> slots, Instant now) {
        mModelLoads.clear();
        mAdapterLoads.clear();
        mStarts.clear();
        mUnsentLoads = 0;
        // The previous holder may already have started as many loads as the current window allows.
        mBlockedUntil = now.plus(WINDOW);
        slots.forEach(this::track);
    }

    /** Updates the count of running loads for a slot that entered a new state. */
    void track(Slot slot) {
        Set<SlotKey> loads = slot.checkpoint().isAdapter() ? mAdapterLoads : mModelLoads;
        boolean counts = slot.state().mayBeLoading() && slot.source() == CheckpointLocation.REMOTE;
        if (counts) {
            loads.add(slot.key());
        } else {
            loads.remove(slot.key());
        }
    }

    /** Removes a released slot. */
    void remove(SlotKey key) {
        mModelLoads.remove(key);
        mAdapterLoads.remove(key);
    }

    /** Returns whether a model load may start now, which is always true from memory or disk. */
    boolean admitsModel(CheckpointLocation source, LoadLimits limits, Instant now) {
        if (source != CheckpointLocation.REMOTE) {
            return true;
        }
        dropOldStarts(now);
        return !now.isBefore(mBlockedUntil)
                && mModelLoads.size() < limits.concurrentLoads()
                && mStarts.size() + mUnsentLoads < limits.loadsPerSecond();
    }

    /** Returns whether an adapter load may start now, whatever its location. */
    boolean admitsAdapter(LoadLimits limits) {
        return mAdapterLoads.size() < limits.concurrentAdapterLoads();
    }

    /**
     * Counts a load that was decided and starts once its plan is written, if it uses the weight
     * store.
     */
    void loadDecided(Slot slot) {
        if (usesStore(slot)) {
            mUnsentLoads++;
        }
    }

    /** Counts a decided load as started at {@code now}: its order is sent or was discarded. */
    void loadStarted(Slot slot, Instant now) {
        if (usesStore(slot)) {
            mUnsentLoads--;
            mStarts.addLast(now);
        }
    }

    private static boolean usesStore(Slot slot) {
        return !slot.checkpoint().isAdapter() && slot.source() == CheckpointLocation.REMOTE;
    }

    private void dropOldStarts(Instant now) {
        while (!mStarts.isEmpty() && !mStarts.peekFirst().plus(WINDOW).isAfter(now)) {
            mStarts.removeFirst();
        }
    }
}
