package org.oleanderspring.core.placement.command;

import org.jspecify.annotations.Nullable;
import org.oleanderspring.core.fleet.ModelName;
import org.oleanderspring.core.placement.Slot;
import org.oleanderspring.core.placement.SlotKey;

/** Queries that relate adapter slots to the slots of their base models on the same runner. */
final class AdapterSlots {
    private AdapterSlots() {}

    /** Returns whether any adapter of the slot's model has a slot on the same runner. */
    static boolean hasAdapters(SlotTable slots, Slot base) {
        for (Slot slot : slots.on(base.key().runner())) {
            if (base.key().name().equals(slot.checkpoint().base())) {
                return true;
            }
        }
        return false;
    }

    /** Returns the base model's slot on the adapter's runner, or null. */
    static @Nullable Slot baseOf(SlotTable slots, Slot adapter) {
        ModelName base = adapter.checkpoint().base();
        return base == null ? null : slots.get(new SlotKey(adapter.key().runner(), base));
    }
}
