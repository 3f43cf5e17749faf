package org.oleanderspring.core.routing.command;

import org.oleanderspring.core.routing.AttemptOutcome;
import org.oleanderspring.core.routing.CallRequest;

/**
 * Decides whether a call may have another attempt. Attempt limits and retry budgets are applied
 * afterwards.
 */
public interface RetryPolicy {
    /**
     * Decides after a failed attempt.
     *
     * @param call the call
     * @param outcome how the attempt ended
     * @param responseBegan whether a byte of the response may have been passed on to the caller
     */
    boolean mayRetry(CallRequest call, AttemptOutcome outcome, boolean responseBegan);
}
