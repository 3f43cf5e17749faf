package org.oleanderspring.core.placement.command;

import java.time.Instant;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.TreeMap;
import org.jspecify.annotations.Nullable;
import org.oleanderspring.core.placement.Plan;
import org.oleanderspring.core.placement.Slot;
import org.oleanderspring.core.placement.SlotKey;
import org.oleanderspring.core.placement.SlotState;

/**
 * Converts the slots of a previous holder's plan into the slots of a new term.
 *
 * <p>An order of the previous holder may still be sent or executed, so a slot that is loading or
 * unloading becomes unsettled and keeps its memory (see {@link DefaultPlacementDecider}). If the
 * store was restored with an older plan, the slots that this daemon wrote are adopted too; where
 * both contain a slot, the state that is not ready is adopted.
 */
final class Takeover {
    private Takeover() {}

    /**
     * Returns the slots for the first plan of a new term.
     *
     * @param plan the stored plan, or null if there is none
     * @param ownSlots the slots that this daemon had written itself; non-empty only if the
     *     key-value service was restored with an older plan
     * @param now the start of the new term
     */
    static List<Slot> adopt(@Nullable Plan plan, Collection<Slot> ownSlots, Instant now) {
        TreeMap<SlotKey, Slot> slots = new TreeMap<>();
        ownSlots.forEach(slot -> slots.put(slot.key(), slot));
        if (plan != null) {
            plan.slots().forEach(slot -> slots.merge(slot.key(), slot, Takeover::lessCertain));
        }
        List<Slot> adopted = new ArrayList<>();
        for (Slot slot : slots.values()) {
            // No load order can have been sent for a reserved slot, so the reservation is dropped.
            if (slot.state() != SlotState.RESERVED) {
                adopted.add(adopt(slot, now));
            }
        }
        return adopted;
    }

    private static Slot lessCertain(Slot a, Slot b) {
        return a.state() == SlotState.READY ? b : a;
    }

    private static Slot adopt(Slot slot, Instant now) {
        return switch (slot.state()) {
            case LOADING -> slot.withState(SlotState.UNSETTLED_LOAD, now);
            case UNLOADING -> slot.withState(SlotState.UNSETTLED_UNLOAD, now);
            default -> slot.withState(slot.state(), now);
        };
    }
}
