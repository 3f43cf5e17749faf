package org.oleanderspring.core.routing.command;

import java.time.Duration;
import org.oleanderspring.core.routing.CallRequest;
import org.oleanderspring.core.routing.RefusalReason;

/**
 * Refuses a call immediately if all ready replicas are busy, and leaves the retry within the
 * deadline to the caller. Callers and daemons bear the cost of the repeated calls, and a repeated
 * call loses the queue position that its first arrival would have given it. Calls for a target
 * without a ready replica wait, because repeating them does not make the target ready sooner.
 */
public final class RefuseWhenBusyPolicy implements OverloadPolicy {
    @Override
    public OverloadAction decide(CallRequest call, TargetLoad load) {
        if (load.replicaReady()) {
            return new OverloadAction.RefuseNow(RefusalReason.OVERLOADED);
        }
        return new OverloadAction.Wait();
    }

    @Override
    public boolean shouldStart(CallRequest call, Duration remaining, Duration firstByte) {
        return true;
    }
}
