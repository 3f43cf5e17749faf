package org.oleanderspring.core.placement;

import java.util.List;
import java.util.Objects;
import org.oleanderspring.coordination.lease.FencingToken;
import org.oleanderspring.coordination.membership.MemberId;
import org.oleanderspring.core.fleet.CellName;

/**
 * The placement plan of one cell, stored under one key of the key-value service.
 *
 * @param cell the cell
 * @param number the version number of the plan; each write increases it by one
 * @param term the ownership term in which the plan was written
 * @param holder the daemon that owns the cell in this term
 * @param mark the identifier of the write
 * @param slots the slots; at most one per runner and model or adapter
 */
public record Plan(
        CellName cell,
        long number,
        FencingToken term,
        MemberId holder,
        PlanWriteId mark,
        List<Slot> slots) {
    /** Makes an immutable copy of the list and rejects a number below 1. */
    public Plan {
        Objects.requireNonNull(cell, "cell");
        Objects.requireNonNull(term, "term");
        Objects.requireNonNull(holder, "holder");
        Objects.requireNonNull(mark, "mark");
        slots = List.copyOf(slots);
        if (number < 1) {
            throw new IllegalArgumentException("plan number must be positive: " + number);
        }
    }
}
