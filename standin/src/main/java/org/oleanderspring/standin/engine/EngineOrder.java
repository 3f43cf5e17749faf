package org.oleanderspring.standin.engine;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * An order to load or unload a checkpoint or to change the role, as received by the engine.
 *
 * @param id the order ID; an order with the ID of an accepted one is not executed again
 * @param kind the kind, such as {@code LOAD_MODEL}
 * @param subject the name of the model or adapter, or the role
 * @param version the checkpoint version to load
 * @param token the fencing token of the sender
 */
public record EngineOrder(String id, String kind, String subject, String version, long token) {
    /**
     * Reads an order.
     *
     * @param document the request body
     * @throws IllegalArgumentException if the ID or the token is missing or of the wrong type
     */
    public static EngineOrder read(JsonNode document) {
        if (!document.path("id").isTextual() || !document.path("token").isIntegralNumber()) {
            throw new IllegalArgumentException("an order needs id and token");
        }
        return new EngineOrder(
                document.path("id").asText(),
                document.path("kind").asText(),
                document.path("subject").asText(),
                document.path("version").asText(),
                document.path("token").asLong());
    }
}
