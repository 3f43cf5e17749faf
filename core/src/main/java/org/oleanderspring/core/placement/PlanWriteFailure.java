package org.oleanderspring.core.placement;

import org.jspecify.annotations.Nullable;
import org.oleanderspring.coordination.store.Revision;

/** The reason for which the write of a plan is not known to have taken effect. */
public sealed interface PlanWriteFailure {
    /**
     * The key had another revision than expected. The stored plan may have the write id of this
     * write if the reply to an earlier attempt was lost.
     *
     * @param current the stored plan, or null if there is none
     * @param revision the revision of the stored plan
     */
    record Conflict(@Nullable Plan current, Revision revision) implements PlanWriteFailure {}

    /**
     * The write did not take effect and will not take effect later.
     *
     * @param reason the reason, for the log
     */
    record NotWritten(String reason) implements PlanWriteFailure {}

    /**
     * No reply arrived. The write may have taken effect or may still take effect.
     *
     * @param reason the reason, for the log
     */
    record OutcomeUnknown(String reason) implements PlanWriteFailure {}
}
