package org.oleanderspring.core.routing.command;

import java.time.Duration;
import org.oleanderspring.core.routing.CallRequest;
import org.oleanderspring.core.routing.RefusalReason;

/**
 * Lets a call wait only while it can be expected to be served in time. The refused caller bears the
 * cost, but at once, with its remaining time in hand; calls that wait keep theirs.
 */
public final class RefuseByEstimatePolicy implements OverloadPolicy {
    @Override
    public OverloadAction decide(CallRequest call, OverloadSituation situation) {
        Duration remaining = Duration.between(situation.now(), call.deadline());
        if (remaining.compareTo(situation.estimatedWait()) < 0) {
            return new OverloadAction.RefuseNow(RefusalReason.DEADLINE_TOO_SHORT);
        }
        return new OverloadAction.Wait();
    }
}
