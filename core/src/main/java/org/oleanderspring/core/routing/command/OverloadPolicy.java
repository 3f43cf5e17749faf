package org.oleanderspring.core.routing.command;

import java.time.Duration;
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

    /**
     * Decides whether a call that has waited still gets the free place for which others wait too.
     *
     * @param call the call
     * @param remaining the time until its deadline
     * @param firstByte how long an answer usually takes to begin; zero if unknown
     * @return whether it is started; if not, it is refused
     */
    boolean isWorthStarting(CallRequest call, Duration remaining, Duration firstByte);
}
