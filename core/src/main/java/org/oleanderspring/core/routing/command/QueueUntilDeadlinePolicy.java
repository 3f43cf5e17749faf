package org.oleanderspring.core.routing.command;

import org.oleanderspring.core.routing.CallRequest;

/**
 * Lets every call wait until its deadline. The callers behind it bear the cost: places in the queue
 * and the time of replicas go to calls whose answers come too late.
 */
public final class QueueUntilDeadlinePolicy implements OverloadPolicy {
    @Override
    public OverloadAction decide(CallRequest call, OverloadSituation situation) {
        return new OverloadAction.Wait();
    }
}
