package org.oleanderspring.standin.engine;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.StringJoiner;
import org.jspecify.annotations.Nullable;
import org.oleanderspring.standin.http.Json;

/** Reads chat completion and completion requests and writes the responses to them. */
public final class CompletionCodec {
    /** The last event of a stream. */
    public static final String DONE_EVENT = "data: [DONE]\n\n";

    private CompletionCodec() {}

    /**
     * Returns the prompt of a completion request, or the contents of a chat request's messages
     * joined by line feeds.
     *
     * @param request the request body
     */
    public static String prompt(JsonNode request) {
        if (!request.has("messages")) {
            return request.path("prompt").asText("");
        }
        StringJoiner text = new StringJoiner("\n");
        request.path("messages").forEach(message -> text.add(message.path("content").asText("")));
        return text.toString();
    }

    /**
     * Writes one token as a server-sent event.
     *
     * @param attempt the attempt
     * @param index the index of the token, from 0
     */
    public static String tokenEvent(CompletionAttempt attempt, int index) {
        return tokenEvent(attempt, attempt.tokens().get(index), null);
    }

    /**
     * Writes the event with the finish reason and the end marker of the stream.
     *
     * @param attempt the attempt
     */
    public static String finalEvents(CompletionAttempt attempt) {
        return tokenEvent(attempt, "", "stop") + DONE_EVENT;
    }

    private static String tokenEvent(
            CompletionAttempt attempt, String text, @Nullable String finish) {
        ObjectNode document =
                commonFields(attempt, attempt.isChat() ? "chat.completion.chunk" : null);
        ObjectNode choice = document.putArray("choices").addObject().put("index", 0);
        if (attempt.isChat()) {
            choice.putObject("delta").put("content", text);
        } else {
            choice.put("text", text);
        }
        choice.put("finish_reason", finish);
        return "data: " + Json.write(document) + "\n\n";
    }

    /**
     * Writes the response of an attempt that is not streamed.
     *
     * @param attempt the attempt
     */
    public static ObjectNode responseDocument(CompletionAttempt attempt) {
        ObjectNode document = commonFields(attempt, attempt.isChat() ? "chat.completion" : null);
        ObjectNode choice = document.putArray("choices").addObject().put("index", 0);
        String text = String.join("", attempt.tokens());
        if (attempt.isChat()) {
            choice.putObject("message").put("role", "assistant").put("content", text);
        } else {
            choice.put("text", text);
        }
        choice.put("finish_reason", "stop");
        document.putObject("usage").put("completion_tokens", attempt.tokens().size());
        return document;
    }

    private static ObjectNode commonFields(CompletionAttempt attempt, @Nullable String chatObject) {
        return Json.object()
                .put("id", attempt.id())
                .put("object", chatObject == null ? "text_completion" : chatObject)
                .put("model", attempt.model());
    }
}
