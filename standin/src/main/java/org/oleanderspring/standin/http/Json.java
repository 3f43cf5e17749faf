package org.oleanderspring.standin.http;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.UncheckedIOException;

/** Parses and writes JSON with a shared mapper. */
public final class Json {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private Json() {}

    /** Returns a new empty object. */
    public static ObjectNode object() {
        return MAPPER.createObjectNode();
    }

    /**
     * Parses a JSON document.
     *
     * @param bytes the document in UTF-8
     * @return the document; a missing node if there are no bytes
     * @throws UncheckedIOException if the bytes are not JSON
     */
    public static JsonNode parse(byte[] bytes) {
        try {
            return MAPPER.readTree(bytes);
        } catch (IOException invalid) {
            throw new UncheckedIOException("not JSON", invalid);
        }
    }

    /**
     * Writes a document on a single line.
     *
     * @param document the document
     */
    public static String write(JsonNode document) {
        try {
            return MAPPER.writeValueAsString(document);
        } catch (JsonProcessingException fault) {
            throw new UncheckedIOException("cannot write JSON", fault);
        }
    }
}
