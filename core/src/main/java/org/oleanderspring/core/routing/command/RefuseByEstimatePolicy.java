package org.oleanderspring.core.routing.command;

import java.time.Duration;
import org.oleanderspring.core.routing.CallRequest;
import org.oleanderspring.core.routing.RefusalReason;

/**
 * Lets a call wait only while it can be expected to be served in time, and does not start one whose
 * answer would begin too late. The refused caller bears the cost, but early, with its remaining
 * time in hand; replicas spend no time on answers that come too late.
 */
public final class RefuseByEstimatePolicy implements OverloadPolicy {
    /**
     * Times to the first byte spread widely around their average, and the calls with the earliest
     * deadlines are started first; without a margin many of them are started in vain.
     */
    private static final int FIRST_BYTE_MARGIN = 2;

    @Override
    public OverloadAction decide(CallRequest call, OverloadSituation situation) {
        Duration remaining = Duration.between(situation.now(), call.deadline());
        if (remaining.compareTo(situation.estimatedWait()) < 0) {
            return new OverloadAction.RefuseNow(RefusalReason.DEADLINE_TOO_SHORT);
        }
        return new OverloadAction.Wait();
    }

    @Override
    public boolean isWorthStarting(CallRequest call, Duration remaining, Duration firstByte) {
        return remaining.compareTo(firstByte.multipliedBy(FIRST_BYTE_MARGIN)) >= 0;
    }
}
