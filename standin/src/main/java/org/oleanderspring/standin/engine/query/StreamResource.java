package org.oleanderspring.standin.engine.query;

import org.oleanderspring.standin.engine.Attempt;
import org.oleanderspring.standin.engine.AttemptState;
import org.oleanderspring.standin.engine.EngineState;
import org.oleanderspring.standin.engine.StreamOutput;
import org.oleanderspring.standin.http.Exchange;
import org.oleanderspring.standin.http.Resource;

/** Sends the tokens of an attempt again, from a given number on. */
public final class StreamResource implements Resource {
    private final EngineState mState;

    /**
     * Creates the resource.
     *
     * @param state the state
     */
    public StreamResource(EngineState state) {
        mState = state;
    }

    @Override
    public void handle(Exchange exchange) {
        Attempt attempt = mState.attempt(exchange.pathBetween("/v1/attempts/", "/stream"));
        if (attempt == null) {
            exchange.replyError(404, "unknown_attempt", exchange.path());
            return;
        }
        int from = (int) Math.max(0, exchange.queryNumber("from", 0));
        StreamOutput output = new StreamOutput(exchange.stream("text/event-stream"));
        for (int index = from; index < attempt.tokens().size(); index++) {
            output.token(attempt, index);
        }
        if (attempt.state() == AttemptState.COMPLETED) {
            output.completed(attempt);
        } else if (attempt.state() == AttemptState.RUNNING
                || attempt.state() == AttemptState.WAITING) {
            attempt.addOutput(output);
        } else {
            output.stopped();
        }
    }
}
