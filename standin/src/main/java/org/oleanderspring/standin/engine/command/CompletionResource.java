package org.oleanderspring.standin.engine.command;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.UUID;
import org.jspecify.annotations.Nullable;
import org.oleanderspring.standin.engine.AnswerCodec;
import org.oleanderspring.standin.engine.Attempt;
import org.oleanderspring.standin.engine.AttemptOutput;
import org.oleanderspring.standin.engine.DocumentOutput;
import org.oleanderspring.standin.engine.EngineState;
import org.oleanderspring.standin.engine.StreamOutput;
import org.oleanderspring.standin.http.Exchange;
import org.oleanderspring.standin.http.Resource;

/** Runs a completion, or answers 503 with the header {@code X-Work: not-run}. */
public final class CompletionResource implements Resource {
    private final EngineState mState;
    private final Generator mGenerator;
    private final boolean mChat;

    /**
     * Creates the resource.
     *
     * @param state the state
     * @param generator runs the attempts
     * @param chat whether answers have the form of a chat
     */
    public CompletionResource(EngineState state, Generator generator, boolean chat) {
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
        } else if (!mGenerator.hasRoom()) {
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
        Attempt attempt = new Attempt(id, model, priority, mChat, tokens);
        exchange.withHeader("X-Attempt-Id", id);
        attempt.addOutput(output(exchange, request.path("stream").asBoolean(false)));
        mGenerator.add(attempt, AnswerCodec.prompt(request));
    }

    private AttemptOutput output(Exchange exchange, boolean stream) {
        if (mState.faults().takeDroppedReply()) {
            exchange.loseReply();
            return new DocumentOutput(exchange);
        }
        return stream
                ? new StreamOutput(exchange.stream("text/event-stream"))
                : new DocumentOutput(exchange);
    }

    private static String orElse(@Nullable String value, String fallback) {
        return value == null ? fallback : value;
    }
}
