package org.oleanderspring.standin.engine.command;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.UUID;
import org.jspecify.annotations.Nullable;
import org.oleanderspring.standin.engine.CompletionAttempt;
import org.oleanderspring.standin.engine.CompletionCodec;
import org.oleanderspring.standin.engine.EngineState;
import org.oleanderspring.standin.engine.EventStreamOutput;
import org.oleanderspring.standin.engine.SingleDocumentOutput;
import org.oleanderspring.standin.engine.TokenOutput;
import org.oleanderspring.standin.http.Exchange;
import org.oleanderspring.standin.http.Resource;

/** Runs a completion, or answers 503 with the header {@code X-Work: not-run}. */
public final class CompletionResource implements Resource {
    private final EngineState mState;
    private final AttemptExecutor mGenerator;
    private final boolean mChat;

    /**
     * Creates the resource.
     *
     * @param state the state
     * @param generator runs the attempts
     * @param chat whether answers have the form of a chat
     */
    public CompletionResource(EngineState state, AttemptExecutor generator, boolean chat) {
        mState = state;
        mGenerator = generator;
        mChat = chat;
    }

    @Override
    public void handle(Exchange exchange) {
        JsonNode request = exchange.json();
        String model = request.path("model").asText("");
        if (mState.faults().isDraining()) {
            exchange.withHeader("X-Draining", "true");
            refuse(exchange, "draining", "the engine takes no new calls");
        } else if (!mState.isReady(model)) {
            refuse(exchange, "model_not_loaded", "the model is not loaded: " + model);
        } else if (!mGenerator.hasCapacity()) {
            refuse(exchange, "overloaded", "all places of the engine are taken");
        } else {
            run(exchange, request, model);
        }
    }

    private static void refuse(Exchange exchange, String type, String message) {
        exchange.withHeader("X-Work", "not-run").replyError(503, type, message);
    }

    private void run(Exchange exchange, JsonNode request, String model) {
        String id = orElse(exchange.header("X-Attempt-Id"), UUID.randomUUID().toString());
        int priority = Integer.parseInt(orElse(exchange.header("X-Priority"), "0"));
        int most = mState.options().tokens();
        int tokens = Math.max(1, Math.min(most, request.path("max_tokens").asInt(most)));
        CompletionAttempt attempt = new CompletionAttempt(id, model, priority, mChat, tokens);
        exchange.withHeader("X-Attempt-Id", id);
        attempt.addOutput(output(exchange, request.path("stream").asBoolean(false)));
        mGenerator.submit(attempt, CompletionCodec.prompt(request));
    }

    private TokenOutput output(Exchange exchange, boolean stream) {
        if (mState.faults().consumeDroppedReply()) {
            exchange.suppressReply();
            return new SingleDocumentOutput(exchange);
        }
        return stream
                ? new EventStreamOutput(exchange.stream("text/event-stream"))
                : new SingleDocumentOutput(exchange);
    }

    private static String orElse(@Nullable String value, String fallback) {
        return value == null ? fallback : value;
    }
}
