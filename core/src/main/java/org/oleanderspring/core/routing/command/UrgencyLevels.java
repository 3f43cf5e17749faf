package org.oleanderspring.core.routing.command;

import org.oleanderspring.core.routing.CallRequest;

/**
 * The priorities of the calls that compete for the same endpoints. An engine runs the more urgent
 * of the calls that it holds first, whichever of its models they are for.
 */
final class UrgencyLevels {
    private int mLeastPriority = Integer.MAX_VALUE;

    /** Records the priority of a call that arrived. */
    void callArrived(CallRequest request) {
        mLeastPriority = Math.min(mLeastPriority, request.priority());
    }

    /** Returns whether a call is more urgent than others. */
    boolean isUrgent(CallRequest request) {
        return request.priority() > mLeastPriority;
    }
}
