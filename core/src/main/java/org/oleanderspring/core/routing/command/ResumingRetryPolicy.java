package org.oleanderspring.core.routing.command;

import org.oleanderspring.core.routing.AttemptOutcome;
import org.oleanderspring.core.routing.CallRequest;
import org.oleanderspring.core.routing.Repetition;

/**
 * Retries resumable calls after any failed attempt, even in the middle of a response, and delegates
 * all other calls to another policy.
 */
public final class ResumingRetryPolicy implements RetryPolicy {
    private final RetryPolicy mFallback;

    /**
     * Creates a policy.
     *
     * @param fallback decides about calls that cannot be resumed
     */
    public ResumingRetryPolicy(RetryPolicy fallback) {
        mFallback = fallback;
    }

    @Override
    public boolean mayRetry(CallRequest call, AttemptOutcome outcome, boolean responseBegan) {
        return call.repetition() == Repetition.RESUMABLE
                || mFallback.mayRetry(call, outcome, responseBegan);
    }
}
