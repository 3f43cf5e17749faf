package org.oleanderspring.core.routing.command;

import org.oleanderspring.core.routing.CallRequest;

/**
 * Decides what becomes of a new call that no replica can take now. Each policy shifts the cost of
 * overload to somebody; its documentation says to whom.
 */
public interface OverloadPolicy {
    /**
     * Decides on one call. The queue has room for it; a full queue refuses calls under any policy.
     *
     * @param call the call
     * @param situation the state of its target
     */
    OverloadAction decide(CallRequest call, OverloadSituation situation);
}
