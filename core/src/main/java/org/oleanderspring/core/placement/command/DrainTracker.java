package org.oleanderspring.core.placement.command;

import java.time.Instant;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.jspecify.annotations.Nullable;
import org.oleanderspring.core.placement.Slot;
import org.oleanderspring.core.placement.SlotKey;
import org.oleanderspring.core.placement.SlotState;

/** Records since when the written plan has shown each slot as draining. */
final class DrainTracker {
    private final Map<SlotKey, Instant> mWrittenAt = new HashMap<>();

    void reset() {
        mWrittenAt.clear();
    }

    /**
     * Records the draining slots of a written plan that did not change since; {@code current}
     * contains the slots of the next plan.
     */
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

    void remove(SlotKey key) {
        mWrittenAt.remove(key);
    }

    /**
     * Returns the time at which the plan with the draining slot was written, or null if it has not
     * been written yet.
     */
    @Nullable Instant writtenAt(SlotKey key) {
        return mWrittenAt.get(key);
    }
}
