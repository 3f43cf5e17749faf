package org.oleanderspring.standin.engine.query;

import org.oleanderspring.standin.engine.CompletionAttempt;
import org.oleanderspring.standin.engine.CompletionAttemptState;
import org.oleanderspring.standin.engine.EngineState;
import org.oleanderspring.standin.engine.EventStreamOutput;
import org.oleanderspring.standin.http.Exchange;
import org.oleanderspring.standin.http.Resource;

/**
 * Resumes the stream of an attempt from the token index in the query parameter {@code from}, 0 by
 * default; 404 if the attempt is unknown. If the attempt was cancelled or aborted, the connection
 * is closed after its last token.
 */
public final class StreamResource implements Resource {
    private final EngineState mState;

    /**
     * Creates the resource.
     *
     * @param state the engine state
     */
    public StreamResource(EngineState state) {
        mState = state;
    }

    @Override
    public void handle(Exchange exchange) {
        CompletionAttempt attempt =
                mState.attempt(exchange.pathBetween("/v1/attempts/", "/stream"));
        if (attempt == null) {
            exchange.replyError(404, "unknown_attempt", exchange.path());
            return;
        }
        int from = (int) Math.max(0, exchange.queryLong("from", 0));
        EventStreamOutput output = new EventStreamOutput(exchange.stream("text/event-stream"));
        for (int index = from; index < attempt.tokens().size(); index++) {
            output.onToken(attempt, index);
        }
        if (attempt.state() == CompletionAttemptState.COMPLETED) {
            output.onCompleted(attempt);
        } else if (attempt.state() == CompletionAttemptState.RUNNING
                || attempt.state() == CompletionAttemptState.WAITING) {
            attempt.addOutput(output);
        } else {
            output.onAborted();
        }
    }
}
