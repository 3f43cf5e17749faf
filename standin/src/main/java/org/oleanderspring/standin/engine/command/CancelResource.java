package org.oleanderspring.standin.engine.command;

import org.oleanderspring.standin.engine.CompletionAttempt;
import org.oleanderspring.standin.engine.EngineState;
import org.oleanderspring.standin.http.Exchange;
import org.oleanderspring.standin.http.Json;
import org.oleanderspring.standin.http.Resource;

/** Cancels an attempt. */
public final class CancelResource implements Resource {
    private final EngineState mState;
    private final AttemptExecutor mGenerator;

    /**
     * Creates the resource.
     *
     * @param state the state
     * @param generator runs the attempts
     */
    public CancelResource(EngineState state, AttemptExecutor generator) {
        mState = state;
        mGenerator = generator;
    }

    @Override
    public void handle(Exchange exchange) {
        CompletionAttempt attempt = mState.attempt(exchange.pathBetween("/v1/attempts/", ""));
        if (attempt == null) {
            exchange.replyError(404, "unknown_attempt", exchange.path());
            return;
        }
        if (!mState.faults().ignoresCancel()) {
            mGenerator.cancel(attempt);
        }
        exchange.reply(202, Json.object().put("state", attempt.state().name()));
    }
}
