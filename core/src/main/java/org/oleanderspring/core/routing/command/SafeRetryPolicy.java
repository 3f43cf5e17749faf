package org.oleanderspring.core.routing.command;

import org.oleanderspring.core.routing.AttemptOutcome;
import org.oleanderspring.core.routing.CallRequest;

/**
 * Retries work that provably did not run, and idempotent work if no byte of its response was passed
 * on. Retrying any other work could run it twice or mix two responses.
 */
public final class SafeRetryPolicy implements RetryPolicy {
    @Override
    public boolean mayRetry(CallRequest call, AttemptOutcome outcome, boolean responseBegan) {
        if (responseBegan) {
            return false;
        }
        if (outcome instanceof AttemptOutcome.NotRun
                || outcome instanceof AttemptOutcome.NotSent
                || outcome instanceof AttemptOutcome.NotHeld) {
            return true;
        }
        return outcome instanceof AttemptOutcome.Failed && call.isIdempotent();
    }
}
