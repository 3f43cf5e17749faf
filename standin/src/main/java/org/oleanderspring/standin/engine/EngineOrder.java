package org.oleanderspring.standin.engine;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * An order as the engine received it.
 *
 * @param id the identity
 * @param kind what to do
 * @param subject the model, adapter or role
 * @param version the version to load
 * @param token the fencing token
 */
public record EngineOrder(String id, String kind, String subject, String version, long token) {
    /**
     * Reads an order.
     *
     * @param document the document
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
