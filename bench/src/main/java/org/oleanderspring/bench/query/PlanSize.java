package org.oleanderspring.bench.query;

import org.oleanderspring.core.placement.Plan;
import org.oleanderspring.core.placement.Slot;

/** Computes the size of a plan's values as text, without the field names of its JSON form. */
public final class PlanSize {
    private PlanSize() {}

    /**
     * Returns the length of the values of all slots; each character counts as one byte.
     *
     * @param plan the plan
     */
    public static long contentBytes(Plan plan) {
        long bytes = 0;
        for (Slot slot : plan.slots()) {
            String base = slot.checkpoint().base() == null ? "" : "" + slot.checkpoint().base();
            String content =
                    slot.key().runner().value()
                            + slot.key().name()
                            + slot.checkpoint().name()
                            + base
                            + slot.checkpoint().version()
                            + slot.memoryMegabytes()
                            + slot.vm()
                            + slot.state()
                            + slot.since()
                            + slot.order().id()
                            + slot.order().term()
                            + slot.order().sender().member()
                            + slot.order().sender().vm()
                            + slot.source()
                            + slot.reason();
            bytes += content.length();
        }
        return bytes;
    }
}
