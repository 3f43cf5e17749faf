package org.oleanderspring.bench.query;

import org.oleanderspring.core.placement.Plan;
import org.oleanderspring.core.placement.Slot;

/** Counts the bytes of a plan's content as text, without the names of fields. */
public final class PlanSize {
    private PlanSize() {}

    /**
     * Returns the bytes.
     *
     * @param plan the plan
     */
    public static long bytesOf(Plan plan) {
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
