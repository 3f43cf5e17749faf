package org.oleanderspring.core.routing.command;

import java.time.Duration;
import org.oleanderspring.core.routing.CallRequest;
import org.oleanderspring.core.routing.RefusalReason;

/**
 * Lets a call wait only while the estimate says that it can be served before its deadline, and does
 * not start a call whose response would begin too late. The refused caller bears the cost, but is
 * notified early, while it still has time left. Replicas spend no time on responses that come too
 * late.
 */
public final class RefuseByEstimatePolicy implements OverloadPolicy {
    /**
     * Factor on the average time to first byte. Times to first byte vary widely around their
     * average, and the calls with the earliest deadlines are started first; without a margin many
     * calls are started whose responses come too late.
     */
    private static final int FIRST_BYTE_MARGIN = 2;

    @Override
    public OverloadAction decide(CallRequest call, TargetLoad load) {
        Duration remaining = Duration.between(load.now(), call.deadline());
        if (remaining.compareTo(load.estimatedWait()) < 0) {
            return new OverloadAction.RefuseNow(RefusalReason.DEADLINE_TOO_SHORT);
        }
        return new OverloadAction.Wait();
    }

    @Override
    public boolean shouldStart(CallRequest call, Duration remaining, Duration firstByte) {
        return remaining.compareTo(firstByte.multipliedBy(FIRST_BYTE_MARGIN)) >= 0;
    }
}
