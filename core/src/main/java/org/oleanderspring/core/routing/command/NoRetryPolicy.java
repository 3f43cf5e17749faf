package org.oleanderspring.core.routing.command;

import org.oleanderspring.core.routing.AttemptOutcome;
import org.oleanderspring.core.routing.CallRequest;

/** Never retries; the baseline against which other policies are compared. */
public final class NoRetryPolicy implements RetryPolicy {
    @Override
    public boolean mayRetry(CallRequest call, AttemptOutcome outcome, boolean answerBegan) {
        return false;
    }
}
