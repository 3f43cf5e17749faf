package org.oleanderspring.standin.http;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.UncheckedIOException;

/** Reads and writes JSON. */
public final class Json {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private Json() {}

    /** Returns a new empty object. */
    public static ObjectNode object() {
        return MAPPER.createObjectNode();
    }

    /**
     * Parses a document.
     *
     * @param bytes the text in UTF-8
     * @return the document; a missing node if the text is empty
     */
    public static JsonNode parse(byte[] bytes) {
        try {
            return MAPPER.readTree(bytes);
        } catch (IOException invalid) {
            throw new UncheckedIOException("not JSON", invalid);
        }
    }

    /**
     * Writes a document without line breaks.
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
