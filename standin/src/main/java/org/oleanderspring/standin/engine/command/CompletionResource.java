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

/** Handles a completion; one that cannot run gets 503 with the header {@code X-Work: not-run}. */
public final class CompletionResource implements Resource {
    private final EngineState mState;
    private final AttemptExecutor mExecutor;
    private final boolean mChat;

    /**
     * Creates the resource.
     *
     * @param state the engine state
     * @param executor the executor of attempts
     * @param chat whether responses have the chat format
     */
    public CompletionResource(EngineState state, AttemptExecutor executor, boolean chat) {
        mState = state;
        mExecutor = executor;
        mChat = chat;
    }

    @Override
    public void handle(Exchange exchange) {
        JsonNode request = exchange.json();
        String model = request.path("model").asText("");
        if (mState.faults().isDraining()) {
            exchange.withHeader("X-Draining", "true");
            replyNotRun(exchange, "draining", "the engine takes no new calls");
        } else if (!mState.isReady(model)) {
            replyNotRun(exchange, "model_not_loaded", "the model is not loaded: " + model);
        } else if (!mExecutor.hasCapacity()) {
            replyNotRun(exchange, "overloaded", "all places of the engine are taken");
        } else {
            startAttempt(exchange, request, model);
        }
    }

    private static void replyNotRun(Exchange exchange, String type, String message) {
        exchange.withHeader("X-Work", "not-run").replyError(503, type, message);
    }

    private void startAttempt(Exchange exchange, JsonNode request, String model) {
        String id = orElse(exchange.header("X-Attempt-Id"), UUID.randomUUID().toString());
        int priority = Integer.parseInt(orElse(exchange.header("X-Priority"), "0"));
        int limit = mState.options().tokens();
        int tokens = Math.max(1, Math.min(limit, request.path("max_tokens").asInt(limit)));
        CompletionAttempt attempt = new CompletionAttempt(id, model, priority, mChat, tokens);
        exchange.withHeader("X-Attempt-Id", id);
        attempt.addOutput(outputFor(exchange, request.path("stream").asBoolean(false)));
        mExecutor.submit(attempt, CompletionCodec.prompt(request));
    }

    private TokenOutput outputFor(Exchange exchange, boolean stream) {
        if (mState.faults().consumeDroppedReply()) {
            // The attempt runs to its end, and then the connection is closed without a response.
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
