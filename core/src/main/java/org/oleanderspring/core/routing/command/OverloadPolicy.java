package org.oleanderspring.core.routing.command;

import java.time.Duration;
import org.oleanderspring.core.routing.CallRequest;

/**
 * Decides about calls that no replica can take now. Every policy places the cost of overload on
 * someone; the documentation of each implementation says on whom.
 */
public interface OverloadPolicy {
    /**
     * Decides about one call. Called only if the queue has room for the call; a full queue refuses
     * calls under any policy.
     *
     * @param call the call
     * @param load the load of its target
     */
    OverloadAction decide(CallRequest call, TargetLoad load);

    /**
     * Decides whether a call that has waited is started when a replica has free capacity. Called
     * only while other calls wait for the same capacity.
     *
     * @param call the call
     * @param remaining the time until the latest start of its response
     * @param firstByte the average time to first byte of the target; zero if unknown
     * @return whether to start the call; if false, it is refused
     */
    boolean shouldStart(CallRequest call, Duration remaining, Duration firstByte);

    /**
     * Decides whether a call goes on waiting although it is not known when a replica will take it.
     *
     * @param call the call; it has not run
     * @param waited the time since its arrival
     * @param remaining the time until the latest start of its response
     * @return whether it waits; if false, it is refused
     */
    default boolean shouldWaitOn(CallRequest call, Duration waited, Duration remaining) {
        return true;
    }
}
