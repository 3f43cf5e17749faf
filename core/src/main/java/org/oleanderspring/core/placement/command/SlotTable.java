package org.oleanderspring.core.placement.command;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.jspecify.annotations.Nullable;
import org.oleanderspring.core.fleet.EndpointId;
import org.oleanderspring.core.fleet.ModelName;
import org.oleanderspring.core.fleet.VmId;
import org.oleanderspring.core.placement.Slot;
import org.oleanderspring.core.placement.SlotKey;
import org.oleanderspring.core.placement.SlotState;

/**
 * The slots of the next plan, indexed by key, model and runner, with the memory they reserve on
 * each VM. Changes are collected here until the plan is written.
 */
final class SlotTable {
    private final TreeMap<SlotKey, Slot> mSlots = new TreeMap<>();
    private final Map<ModelName, TreeMap<SlotKey, Slot>> mByName = new HashMap<>();
    private final Map<EndpointId, TreeMap<SlotKey, Slot>> mByRunner = new HashMap<>();
    private final Map<VmId, Long> mMegabytes = new HashMap<>();
    private boolean mChanged;

    /** Replaces all slots and marks the table as unchanged. */
    void reset(List<Slot> slots) {
        mSlots.clear();
        mByName.clear();
        mByRunner.clear();
        mMegabytes.clear();
        slots.forEach(this::put);
        mChanged = false;
    }

    /** Adds a slot or replaces the one with the same key. */
    void put(Slot slot) {
        remove(slot.key());
        mSlots.put(slot.key(), slot);
        mByName.computeIfAbsent(slot.key().name(), name -> new TreeMap<>()).put(slot.key(), slot);
        mByRunner.computeIfAbsent(slot.key().runner(), id -> new TreeMap<>()).put(slot.key(), slot);
        mMegabytes.merge(slot.vm(), slot.memoryMegabytes(), Long::sum);
        mChanged = true;
    }

    /** Removes a slot and the memory that it reserves. */
    void remove(SlotKey key) {
        Slot removed = mSlots.remove(key);
        if (removed == null) {
            return;
        }
        removeFrom(mByName, key.name(), key);
        removeFrom(mByRunner, key.runner(), key);
        mMegabytes.merge(removed.vm(), -removed.memoryMegabytes(), Long::sum);
        mChanged = true;
    }

    private static <K> void removeFrom(Map<K, TreeMap<SlotKey, Slot>> index, K group, SlotKey key) {
        TreeMap<SlotKey, Slot> slots = index.get(group);
        if (slots == null) {
            return;
        }
        slots.remove(key);
        if (slots.isEmpty()) {
            index.remove(group);
        }
    }

    /** Returns the slot with a key, or null. */
    @Nullable Slot get(SlotKey key) {
        return mSlots.get(key);
    }

    /** Returns a snapshot of all slots, ordered by key. */
    List<Slot> all() {
        return new ArrayList<>(mSlots.values());
    }

    int size() {
        return mSlots.size();
    }

    /**
     * Returns a live view of the slots of a model or adapter. It must not be used after a change of
     * the table.
     */
    Collection<Slot> named(ModelName name) {
        TreeMap<SlotKey, Slot> slots = mByName.get(name);
        return slots == null ? List.of() : Collections.unmodifiableCollection(slots.values());
    }

    /**
     * Returns a live view of the slots on a runner. It must not be used after a change of the
     * table.
     */
    Collection<Slot> on(EndpointId runner) {
        TreeMap<SlotKey, Slot> slots = mByRunner.get(runner);
        return slots == null ? List.of() : Collections.unmodifiableCollection(slots.values());
    }

    /** Returns the number of slots of a model or adapter, in any state. */
    int countOf(ModelName name) {
        return named(name).size();
    }

    /** Returns the number of slots of a model or adapter in one of the given states. */
    int countOf(ModelName name, Collection<SlotState> states) {
        int count = 0;
        for (Slot slot : named(name)) {
            if (states.contains(slot.state())) {
                count++;
            }
        }
        return count;
    }

    /** Returns the memory that slots reserve on a VM, in megabytes. */
    long megabytesOn(VmId vm) {
        return mMegabytes.getOrDefault(vm, 0L);
    }

    /** Returns the models and adapters that have slots, in sorted order. */
    List<ModelName> names() {
        return mByName.keySet().stream().sorted().toList();
    }

    /** Returns whether a slot changed since the last {@link #markWritten} or {@link #reset}. */
    boolean isChanged() {
        return mChanged;
    }

    /** Marks the table as unchanged when its slots are written as a plan. */
    void markWritten() {
        mChanged = false;
    }

    /** Requests that the current slots be written again. */
    void markChanged() {
        mChanged = true;
    }
}
