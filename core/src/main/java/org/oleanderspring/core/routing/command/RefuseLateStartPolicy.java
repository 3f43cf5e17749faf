package org.oleanderspring.core.routing.command;

import java.time.Duration;
import org.oleanderspring.core.routing.CallRequest;
import org.oleanderspring.core.routing.RefusalReason;

/**
 * Refuses a call immediately if the estimated wait ends after the latest start of its response, and
 * starts every call that has at least the average time to first byte left. The refused caller bears
 * the cost, but can still retry later or use another service; a caller that is refused shortly
 * before its deadline has waited in vain.
 */
public final class RefuseLateStartPolicy implements OverloadPolicy {
    /** Creates a policy; it has no state. */
    public RefuseLateStartPolicy() {}

    @Override
    public OverloadAction decide(CallRequest call, TargetLoad load) {
        Duration remaining = Duration.between(load.now(), call.beginBy());
        if (remaining.compareTo(load.estimatedWait()) < 0) {
            return new OverloadAction.RefuseNow(RefusalReason.DEADLINE_TOO_SHORT);
        }
        return new OverloadAction.Wait();
    }

    @Override
    public boolean shouldStart(CallRequest call, Duration remaining, Duration firstByte) {
        return remaining.compareTo(firstByte) >= 0;
    }
}
