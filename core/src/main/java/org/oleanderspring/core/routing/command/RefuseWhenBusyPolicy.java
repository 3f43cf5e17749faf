package org.oleanderspring.core.routing.command;

import java.time.Duration;
import org.oleanderspring.core.routing.CallRequest;
import org.oleanderspring.core.routing.RefusalReason;

/**
 * Refuses a call at once when all ready replicas are busy, and leaves it to the caller to try again
 * within its deadline. The callers and the entry VMs bear the cost, as repeated calls, and a call
 * has no place in a queue that an earlier arrival would give it. Calls for a target without a ready
 * replica wait, because repeating them brings nothing nearer.
 */
public final class RefuseWhenBusyPolicy implements OverloadPolicy {
    @Override
    public OverloadAction decide(CallRequest call, OverloadSituation situation) {
        if (situation.replicaReady()) {
            return new OverloadAction.RefuseNow(RefusalReason.OVERLOADED);
        }
        return new OverloadAction.Wait();
    }

    @Override
    public boolean isWorthStarting(CallRequest call, Duration remaining, Duration firstByte) {
        return true;
    }
}
