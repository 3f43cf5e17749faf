package org.oleanderspring.core.routing.command;

import java.time.Duration;
import org.oleanderspring.core.routing.CallRequest;
import org.oleanderspring.core.routing.RefusalReason;

/**
 * Refuses a call at once if the estimated wait is longer than it can wait, and starts every call
 * that still has time. A caller that is told at once can come back later or go elsewhere; one that
 * is refused near its deadline has waited for nothing.
 */
public final class RefuseLateStartPolicy implements OverloadPolicy {
    /** Creates a policy; it has no state. */
    public RefuseLateStartPolicy() {}

    @Override
    public OverloadAction decide(CallRequest call, OverloadSituation situation) {
        Duration remaining = Duration.between(situation.now(), call.beginBy());
        if (remaining.compareTo(situation.estimatedWait()) < 0) {
            return new OverloadAction.RefuseNow(RefusalReason.DEADLINE_TOO_SHORT);
        }
        return new OverloadAction.Wait();
    }

    @Override
    public boolean isWorthStarting(CallRequest call, Duration remaining, Duration firstByte) {
        return remaining.compareTo(firstByte) >= 0;
    }
}
