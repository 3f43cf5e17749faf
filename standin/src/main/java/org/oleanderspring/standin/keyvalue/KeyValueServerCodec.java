package org.oleanderspring.standin.keyvalue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import java.util.Base64;
import java.util.List;
import org.oleanderspring.standin.http.Json;

/**
 * Reads requests and writes responses in the HTTP/JSON form of etcd v3: base64 for bytes, strings
 * for 64-bit integers.
 */
public final class KeyValueServerCodec {
    private KeyValueServerCodec() {}

    /**
     * Reads the fields {@code key} and {@code range_end} of a request.
     *
     * @param request the request body
     * @throws IllegalArgumentException if the key is missing or empty, or a field is not base64
     */
    public static KeyRange readRange(JsonNode request) {
        String key = decodeKey(request.path("key"));
        if (key.isEmpty()) {
            throw new IllegalArgumentException("key is not provided");
        }
        return new KeyRange(key, decodeKey(request.path("range_end")));
    }

    /**
     * Decodes a key.
     *
     * @param node the key in base64; a missing node is read as an empty key
     * @return the key as ISO 8859-1 text, one character per byte
     * @throws IllegalArgumentException if the text is not base64
     */
    public static String decodeKey(JsonNode node) {
        byte[] bytes = Base64.getDecoder().decode(node.asText(""));
        return new String(bytes, StandardCharsets.ISO_8859_1);
    }

    /**
     * Encodes a key.
     *
     * @param key the key as ISO 8859-1 text, one character per byte
     * @return the key in base64
     */
    public static String encodeKey(String key) {
        byte[] bytes = key.getBytes(StandardCharsets.ISO_8859_1);
        return Base64.getEncoder().encodeToString(bytes);
    }

    /**
     * Creates a response that contains the header only.
     *
     * @param revision the current revision of the store
     */
    public static ObjectNode newResponse(long revision) {
        ObjectNode document = Json.object();
        document.putObject("header").put("revision", Long.toString(revision));
        return document;
    }

    /**
     * Adds the fields {@code kvs} and {@code count} to a response.
     *
     * @param document the response
     * @param entries the entries
     */
    public static void addEntries(ObjectNode document, List<KeyValueEntry> entries) {
        ArrayNode array = document.putArray("kvs");
        entries.forEach(entry -> array.add(encodeEntry(entry)));
        document.put("count", Integer.toString(entries.size()));
    }

    /**
     * Encodes an entry; the field {@code lease} is absent if the entry has no lease.
     *
     * @param entry the entry
     */
    public static ObjectNode encodeEntry(KeyValueEntry entry) {
        ObjectNode node = Json.object();
        node.put("key", encodeKey(entry.key()));
        node.put("create_revision", Long.toString(entry.createRevision()));
        node.put("mod_revision", Long.toString(entry.modRevision()));
        node.put("version", Long.toString(entry.version()));
        node.put("value", entry.value());
        if (entry.lease() != 0) {
            node.put("lease", Long.toString(entry.lease()));
        }
        return node;
    }

    /**
     * Encodes changes as one watch message.
     *
     * @param changes the changes
     * @param revision the store revision in the header
     * @return the message as one line of JSON
     */
    public static String watchMessage(List<KeyChange> changes, long revision) {
        ObjectNode result = newResponse(revision);
        ArrayNode events = result.putArray("events");
        for (KeyChange change : changes) {
            ObjectNode event = events.addObject();
            KeyValueEntry entry = change.entry();
            if (entry != null) {
                event.set("kv", encodeEntry(entry));
                continue;
            }
            event.put("type", "DELETE");
            event.putObject("kv")
                    .put("key", encodeKey(change.key()))
                    .put("mod_revision", Long.toString(change.revision()));
        }
        return streamLine(result);
    }

    /**
     * Wraps a message of a streaming call in an object with the field {@code result}.
     *
     * @param result the message
     * @return the message as one line of JSON
     */
    public static String streamLine(ObjectNode result) {
        ObjectNode message = Json.object();
        message.set("result", result);
        return Json.write(message) + "\n";
    }
}
