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
 * Keeps loads within the limits of the weight store. Loads from memory or disk do not use the
 * store. A load counts from its reservation until its outcome is known, so an unsettled load counts
 * too.
 */
final class LoadAdmission {
    private static final Duration WINDOW = Duration.ofSeconds(1);

    private final Set<SlotKey> mModelLoads = new HashSet<>();
    private final Set<SlotKey> mAdapterLoads = new HashSet<>();
    private final ArrayDeque<Instant> mStarts = new ArrayDeque<>();
    private Instant mClosedUntil = Instant.MIN;
    private int mUnsent;

    /** Starts over with the slots of a taken-over plan. */
    void reset(Iterable<Slot> slots, Instant now) {
        mModelLoads.clear();
        mAdapterLoads.clear();
        mStarts.clear();
        mUnsent = 0;
        // The former holder may have used up the current window.
        mClosedUntil = now.plus(WINDOW);
        slots.forEach(this::track);
    }

    /** Follows a slot to its new state. */
    void track(Slot slot) {
        Set<SlotKey> loads = slot.checkpoint().isAdapter() ? mAdapterLoads : mModelLoads;
        boolean counts = slot.state().mayBeLoading() && slot.source() == CheckpointLocation.REMOTE;
        if (counts) {
            loads.add(slot.key());
        } else {
            loads.remove(slot.key());
        }
    }

    /** Forgets a released slot. */
    void forget(SlotKey key) {
        mModelLoads.remove(key);
        mAdapterLoads.remove(key);
    }

    /** Returns whether a model may be loaded from a location now. */
    boolean admitsModel(CheckpointLocation source, LoadLimits limits, Instant now) {
        if (source != CheckpointLocation.REMOTE) {
            return true;
        }
        dropOldStarts(now);
        return !now.isBefore(mClosedUntil)
                && mModelLoads.size() < limits.concurrentLoads()
                && mStarts.size() + mUnsent < limits.loadsPerSecond();
    }

    /** Returns whether an adapter may be loaded now. */
    boolean admitsAdapter(LoadLimits limits) {
        return mAdapterLoads.size() < limits.concurrentAdapterLoads();
    }

    /** Notes that a load from the store was decided; it starts when its plan is written. */
    void decided(Slot slot) {
        if (usesStore(slot)) {
            mUnsent++;
        }
    }

    /** Notes that the order of a decided load goes out now, or was dropped. */
    void started(Slot slot, Instant now) {
        if (usesStore(slot)) {
            mUnsent--;
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
