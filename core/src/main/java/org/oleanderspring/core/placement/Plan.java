package org.oleanderspring.core.placement;

import java.util.List;
import java.util.Objects;
import org.oleanderspring.coordination.lease.FencingToken;
import org.oleanderspring.coordination.membership.MemberId;
import org.oleanderspring.core.fleet.CellName;

/**
 * The placement of one cell.
 *
 * @param cell the cell
 * @param number rises by one with each write
 * @param term the ownership under which it was written
 * @param holder the daemon that owns the cell in this term
 * @param mark identifies the write
 * @param slots the slots, at most one for each runner and name
 */
public record Plan(
        CellName cell,
        long number,
        FencingToken term,
        MemberId holder,
        PlanWriteId mark,
        List<Slot> slots) {
    /** Copies the list and checks the range. */
    public Plan {
        Objects.requireNonNull(cell, "cell");
        Objects.requireNonNull(term, "term");
        Objects.requireNonNull(holder, "holder");
        Objects.requireNonNull(mark, "mark");
        slots = List.copyOf(slots);
        if (number < 1) {
            throw new IllegalArgumentException("plan number is not positive: " + number);
        }
    }
}
