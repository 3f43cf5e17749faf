package org.oleanderspring.daemon.front.command;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import org.oleanderspring.core.fleet.ModelName;
import org.oleanderspring.core.message.ErrorMessage;
import org.oleanderspring.daemon.front.Refusal;

/** Parses the body of a model call for the values that routing needs. */
final class ModelCallBody {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    /** Calls whose prompts begin with the same characters up to this length get the same hash. */
    private static final int PREFIX_CHARACTERS = 512;

    private ModelCallBody() {}

    /** The result of parsing a body. */
    sealed interface Content {
        /**
         * A valid body.
         *
         * @param model the model or adapter
         * @param prefixHash a hash of the first 512 characters of {@code messages} or, without that
         *     field, of {@code prompt}; taken from the field's text if it is a string and from its
         *     JSON text otherwise; 0 if the text is empty or both fields are absent
         */
        record Valid(ModelName model, long prefixHash) implements Content {}

        /**
         * An invalid body.
         *
         * @param refusal the refusal to send to the caller
         */
        record Invalid(Refusal refusal) implements Content {}
    }

    /**
     * Parses a body.
     *
     * @param body the JSON body of the request
     */
    static Content read(byte[] body) {
        JsonNode root;
        try {
            root = MAPPER.readTree(body);
        } catch (JsonProcessingException malformed) {
            return invalidJson(malformed.getOriginalMessage());
        } catch (IOException unreadable) {
            // Jackson reports a malformed UTF-32 body as a CharConversionException.
            return invalidJson(String.valueOf(unreadable.getMessage()));
        }
        if (root == null || !root.isObject()) {
            return invalidJson("an object is expected");
        }
        JsonNode model = root.get("model");
        if (model == null || !model.isTextual() || model.textValue().isBlank()) {
            return new Content.Invalid(
                    Refusal.notRun(
                            ErrorMessage.BAD_FIELD, "model", "the name of a model or adapter"));
        }
        return new Content.Valid(new ModelName(model.textValue()), prefixHash(root));
    }

    private static long prefixHash(JsonNode root) {
        JsonNode prompt = root.has("messages") ? root.get("messages") : root.path("prompt");
        String text = prompt.isTextual() ? prompt.textValue() : prompt.toString();
        String prefix = text.substring(0, Math.min(text.length(), PREFIX_CHARACTERS));
        return prefix.isEmpty() ? 0 : prefix.hashCode();
    }

    private static Content invalidJson(String reason) {
        return new Content.Invalid(Refusal.notRun(ErrorMessage.BROKEN_JSON, reason));
    }
}
