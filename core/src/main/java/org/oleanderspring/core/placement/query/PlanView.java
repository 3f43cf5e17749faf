package org.oleanderspring.core.placement.query;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.oleanderspring.core.fleet.ModelName;
import org.oleanderspring.core.placement.Plan;
import org.oleanderspring.core.placement.Slot;

/**
 * The view of a plan for the status command: all slots and the replicas and memory that they
 * reserve.
 *
 * @param number the version number of the plan
 * @param term the ownership term of the plan
 * @param holder the daemon that owns the cell
 * @param slots all slots with state, reason, order and sender, in the order of the plan
 * @param chargedReplicas the number of reserved replicas of each model or adapter
 * @param chargedMegabytes the reserved memory on each VM, by VM identifier
 * @param unsettled the slots whose last order is from an earlier term and has an unknown outcome
 */
public record PlanView(
        long number,
        String term,
        String holder,
        List<Slot> slots,
        Map<ModelName, Integer> chargedReplicas,
        Map<String, Long> chargedMegabytes,
        List<Slot> unsettled) {
    /** Makes immutable copies of the collections. */
    public PlanView {
        slots = List.copyOf(slots);
        chargedReplicas = Map.copyOf(chargedReplicas);
        chargedMegabytes = Map.copyOf(chargedMegabytes);
        unsettled = List.copyOf(unsettled);
    }

    /**
     * Creates the view of a plan.
     *
     * @param plan the plan
     */
    public static PlanView of(Plan plan) {
        Map<ModelName, Integer> replicas = new TreeMap<>();
        Map<String, Long> memory = new TreeMap<>();
        List<Slot> unsettled = new ArrayList<>();
        for (Slot slot : plan.slots()) {
            replicas.merge(slot.key().name(), 1, Integer::sum);
            memory.merge(slot.vm().value(), slot.memoryMegabytes(), Long::sum);
            if (slot.state().isUnsettled()) {
                unsettled.add(slot);
            }
        }
        String term = plan.term().toString();
        String holder = plan.holder().value();
        return new PlanView(plan.number(), term, holder, plan.slots(), replicas, memory, unsettled);
    }
}
