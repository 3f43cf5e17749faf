package org.oleanderspring.core.routing.command;

import java.time.Instant;
import org.oleanderspring.core.routing.RoutingLimits;
import org.oleanderspring.core.routing.Target;

/** Limits how many attempts beyond the first a daemon makes, over all its calls. */
public interface RetryBudget {
    /**
     * Notes the first attempt of a call.
     *
     * @param target what the call asks for
     * @param limits the limits in force
     * @param now the current time
     */
    void firstAttempt(Target target, RoutingLimits limits, Instant now);

    /**
     * Takes one further attempt if one is left.
     *
     * @param target what the call asks for
     * @param limits the limits in force
     * @param now the current time
     */
    boolean takeRetry(Target target, RoutingLimits limits, Instant now);

    /** Returns how many further attempts were left at the last event. */
    int retriesLeft();
}
