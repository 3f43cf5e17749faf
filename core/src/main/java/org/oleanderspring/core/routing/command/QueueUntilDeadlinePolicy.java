package org.oleanderspring.core.routing.command;

import java.time.Duration;
import org.oleanderspring.core.routing.CallRequest;

/**
 * Lets every call wait until its deadline. The calls behind it bear the cost: queue space and
 * replica time are spent on responses that come too late.
 */
public final class QueueUntilDeadlinePolicy implements OverloadPolicy {
    @Override
    public OverloadAction decide(CallRequest call, TargetLoad load) {
        return new OverloadAction.Wait();
    }

    @Override
    public boolean shouldStart(CallRequest call, Duration remaining, Duration firstByte) {
        return true;
    }
}
