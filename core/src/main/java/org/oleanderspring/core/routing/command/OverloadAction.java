package org.oleanderspring.core.routing.command;

import org.oleanderspring.core.routing.RefusalReason;

/** What becomes of a call that no replica can take now. */
public sealed interface OverloadAction {
    /** The call waits in the queue of its target. */
    record Wait() implements OverloadAction {}

    /**
     * The call is refused at once.
     *
     * @param reason why
     */
    record RefuseNow(RefusalReason reason) implements OverloadAction {}
}
