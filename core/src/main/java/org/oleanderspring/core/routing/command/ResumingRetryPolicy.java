package org.oleanderspring.core.routing.command;

import org.oleanderspring.core.routing.AttemptOutcome;
import org.oleanderspring.core.routing.CallRequest;
import org.oleanderspring.core.routing.Repetition;

/**
 * Retries resumable calls after any end of an attempt, also in the middle of an answer, and leaves
 * other calls to another policy.
 */
public final class ResumingRetryPolicy implements RetryPolicy {
    private final RetryPolicy mOthers;

    /**
     * Creates the policy.
     *
     * @param others decides on calls that cannot be resumed
     */
    public ResumingRetryPolicy(RetryPolicy others) {
        mOthers = others;
    }

    @Override
    public boolean mayRetry(CallRequest call, AttemptOutcome outcome, boolean answerBegan) {
        return call.repetition() == Repetition.RESUMABLE
                || mOthers.mayRetry(call, outcome, answerBegan);
    }
}
