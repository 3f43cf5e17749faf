package org.oleanderspring.core.routing.command;

import org.oleanderspring.core.routing.AttemptOutcome;
import org.oleanderspring.core.routing.CallRequest;

/** Never retries. Serves as the baseline for comparing policies. */
public final class NoRetryPolicy implements RetryPolicy {
    @Override
    public boolean mayRetry(CallRequest call, AttemptOutcome outcome, boolean responseBegan) {
        return false;
    }
}
