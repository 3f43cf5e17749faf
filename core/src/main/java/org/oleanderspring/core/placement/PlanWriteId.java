package org.oleanderspring.core.placement;

import java.util.Objects;
import org.oleanderspring.coordination.membership.MemberId;

/**
 * Identifies one write of a plan, so that the writer finds out whether a write without a reply took
 * effect.
 *
 * @param writer the daemon that wrote the plan
 * @param write the number of the write, unique for the writer
 */
public record PlanWriteId(MemberId writer, long write) {
    /** Checks for a missing writer. */
    public PlanWriteId {
        Objects.requireNonNull(writer, "writer");
    }
}
