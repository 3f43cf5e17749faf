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
    /**
     * The share of its time that a call has left when it is refused because no replica has taken
     * it. A caller waits for up to a third of its time before it comes back; with this share left
     * it can still be served by another daemon, or later by this one.
     */
    private static final int REMAINING_SHARE = 3;

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

    @Override
    public boolean shouldWaitOn(CallRequest call, Duration waited, Duration remaining) {
        Duration total = waited.plus(remaining);
        return remaining.multipliedBy(REMAINING_SHARE).compareTo(total) > 0;
    }
}
