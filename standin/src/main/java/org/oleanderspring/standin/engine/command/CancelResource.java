package org.oleanderspring.standin.engine.command;

import org.oleanderspring.standin.engine.CompletionAttempt;
import org.oleanderspring.standin.engine.EngineState;
import org.oleanderspring.standin.http.Exchange;
import org.oleanderspring.standin.http.Json;
import org.oleanderspring.standin.http.Resource;

/** Handles the cancellation of an attempt: 202 with its state, or 404 if it is unknown. */
public final class CancelResource implements Resource {
    private final EngineState mState;
    private final AttemptExecutor mExecutor;

    /**
     * Creates the resource.
     *
     * @param state the engine state
     * @param executor the executor of attempts
     */
    public CancelResource(EngineState state, AttemptExecutor executor) {
        mState = state;
        mExecutor = executor;
    }

    @Override
    public void handle(Exchange exchange) {
        CompletionAttempt attempt = mState.attempt(exchange.pathBetween("/v1/attempts/", ""));
        if (attempt == null) {
            exchange.replyError(404, "unknown_attempt", exchange.path());
            return;
        }
        if (!mState.faults().ignoresCancel()) {
            mExecutor.cancel(attempt);
        }
        exchange.reply(202, Json.object().put("state", attempt.state().name()));
    }
}
