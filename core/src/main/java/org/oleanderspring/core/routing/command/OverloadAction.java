package org.oleanderspring.core.routing.command;

import org.oleanderspring.core.routing.RefusalReason;

/** The decision of an {@link OverloadPolicy} about a call. */
public sealed interface OverloadAction {
    /** The call waits in the queue of its target. */
    record Wait() implements OverloadAction {}

    /**
     * The call is refused immediately.
     *
     * @param reason the reason reported to the caller
     */
    record RefuseNow(RefusalReason reason) implements OverloadAction {}
}
