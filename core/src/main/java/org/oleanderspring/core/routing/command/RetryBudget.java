package org.oleanderspring.core.routing.command;

import java.time.Instant;
import org.oleanderspring.core.routing.RoutingLimits;
import org.oleanderspring.core.routing.Target;

/** Limits the number of attempts after the first, over all calls of a daemon. */
public interface RetryBudget {
    /**
     * Records the first attempt of a call.
     *
     * @param target the target of the call
     * @param limits the current limits
     * @param now the current time
     */
    void recordFirstAttempt(Target target, RoutingLimits limits, Instant now);

    /**
     * Takes one retry from the budget.
     *
     * @param target the target of the call
     * @param limits the current limits
     * @param now the current time
     * @return whether the retry is permitted; if false, the budget is unchanged
     */
    boolean tryTakeRetry(Target target, RoutingLimits limits, Instant now);

    /** Returns how many retries were left after the last event. */
    int retriesLeft();
}
