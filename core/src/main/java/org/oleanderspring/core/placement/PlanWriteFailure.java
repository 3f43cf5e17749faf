package org.oleanderspring.core.placement;

import org.jspecify.annotations.Nullable;
import org.oleanderspring.coordination.store.Revision;

/** Why the write of a plan is not known to have taken effect. */
public sealed interface PlanWriteFailure {
    /**
     * The key was at another revision. The plan found may carry the mark of this very write when an
     * earlier reply was lost.
     *
     * @param current the plan found, or null if there is none
     * @param revision its revision
     */
    record Conflict(@Nullable Plan current, Revision revision) implements PlanWriteFailure {}

    /**
     * The write did not take effect and will not.
     *
     * @param reason why, for the log
     */
    record NotWritten(String reason) implements PlanWriteFailure {}

    /**
     * No reply arrived; the write may have taken effect or may still do so.
     *
     * @param reason why, for the log
     */
    record OutcomeUnknown(String reason) implements PlanWriteFailure {}
}
