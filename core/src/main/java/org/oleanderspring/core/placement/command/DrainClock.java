package org.oleanderspring.core.placement.command;

import java.time.Instant;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.jspecify.annotations.Nullable;
import org.oleanderspring.core.placement.Slot;
import org.oleanderspring.core.placement.SlotKey;
import org.oleanderspring.core.placement.SlotState;

/** Knows since when the written plan shows a slot as draining. */
final class DrainClock {
    private final Map<SlotKey, Instant> mWrittenAt = new HashMap<>();

    void reset() {
        mWrittenAt.clear();
    }

    /** Takes in a written plan; {@code current} are the slots of the next plan. */
    void planWritten(List<Slot> written, SlotTable current, Instant now) {
        for (Slot slot : written) {
            if (slot.state() != SlotState.DRAINING) {
                continue;
            }
            Slot latest = current.get(slot.key());
            if (latest != null && latest.equals(slot)) {
                mWrittenAt.putIfAbsent(slot.key(), now);
            }
        }
    }

    void forget(SlotKey key) {
        mWrittenAt.remove(key);
    }

    /** Returns when the draining slot was written, or null if it was not yet. */
    @Nullable Instant writtenAt(SlotKey key) {
        return mWrittenAt.get(key);
    }
}
