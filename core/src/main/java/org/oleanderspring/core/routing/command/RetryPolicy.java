package org.oleanderspring.core.routing.command;

import org.oleanderspring.core.routing.AttemptOutcome;
import org.oleanderspring.core.routing.CallRequest;

/** Decides whether a call may have another attempt, before limits and budgets are applied. */
public interface RetryPolicy {
    /**
     * Decides on the end of one attempt.
     *
     * @param call the call
     * @param outcome how the attempt ended
     * @param answerBegan whether a byte of the answer may have been passed on
     */
    boolean mayRetry(CallRequest call, AttemptOutcome outcome, boolean answerBegan);
}
