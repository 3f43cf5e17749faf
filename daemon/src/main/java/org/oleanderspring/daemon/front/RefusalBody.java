package org.oleanderspring.daemon.front;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import org.oleanderspring.core.routing.WorkState;

/** Encodes refusals as JSON bodies. */
public final class RefusalBody {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private RefusalBody() {}

    /**
     * Returns the JSON body of a refusal, in UTF-8.
     *
     * @param refusal the refusal
     */
    public static byte[] encode(Refusal refusal) {
        ObjectNode error = MAPPER.createObjectNode();
        error.put("number", refusal.message().number());
        error.put("type", refusal.message().name().toLowerCase(Locale.ROOT));
        error.put("message", refusal.text());
        error.put("work", nameOf(refusal.workState()));
        ObjectNode body = MAPPER.createObjectNode();
        body.set("error", error);
        try {
            return MAPPER.writeValueAsString(body).getBytes(StandardCharsets.UTF_8);
        } catch (JsonProcessingException fault) {
            throw new IllegalStateException("cannot encode the refusal as JSON: " + refusal, fault);
        }
    }

    /**
     * Returns the name of a work state in bodies and headers.
     *
     * @param state the state
     */
    public static String nameOf(WorkState state) {
        return state.name().toLowerCase(Locale.ROOT);
    }
}
