package org.oleanderspring.standin.keyvalue.command;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.oleanderspring.standin.http.Json;
import org.oleanderspring.standin.keyvalue.KeyRange;
import org.oleanderspring.standin.keyvalue.KeyValueServerCodec;
import org.oleanderspring.standin.keyvalue.KeyValueStore;

/** An operation of a transaction. */
sealed interface TransactionOperation {
    /** The maximum size of a value in bytes, 1 MiB. */
    int MAX_VALUE_BYTES = 1 << 20;

    /** The maximum length of a value in base64, which encodes three bytes as four characters. */
    int MAX_VALUE_CHARACTERS = (MAX_VALUE_BYTES + 2) / 3 * 4;

    /** Returns the reason to reject the operation; empty if it is allowed. */
    String rejectionReason(KeyValueStore store);

    /**
     * Executes the operation and returns its response. The operation sees the changes of earlier
     * operations of the same transaction.
     */
    ObjectNode apply(KeyValueStore store);

    /** Returns whether the operation is allowed. */
    default boolean isAllowed(KeyValueStore store) {
        return rejectionReason(store).isEmpty();
    }

    /**
     * Returns the HTTP status of a rejection: 404 for an unknown lease, which is recognized by the
     * word in the reason, else 400.
     */
    default int rejectionStatus(KeyValueStore store) {
        return rejectionReason(store).contains("lease") ? 404 : 400;
    }

    /** Reads a put request, whose value is in base64. */
    static TransactionOperation put(JsonNode request) {
        return new Put(
                KeyValueServerCodec.readRange(request).key(),
                request.path("value").asText(""),
                request.path("lease").asLong(0));
    }

    /**
     * Reads an operation of a transaction. A put is accepted as {@code request_put} and as {@code
     * requestPut}.
     *
     * @throws IllegalArgumentException if the operation is neither a put, a range nor a deletion
     */
    static TransactionOperation read(JsonNode node) {
        if (node.has("request_put") || node.has("requestPut")) {
            return put(node.path(node.has("request_put") ? "request_put" : "requestPut"));
        }
        if (node.has("request_range")) {
            return new Range(KeyValueServerCodec.readRange(node.path("request_range")));
        }
        if (node.has("request_delete_range")) {
            return new Delete(KeyValueServerCodec.readRange(node.path("request_delete_range")));
        }
        throw new IllegalArgumentException("unknown operation: " + node);
    }

    /** Writes a key; the value is in base64, the lease is 0 for none. */
    record Put(String key, String value, long lease) implements TransactionOperation {
        @Override
        public String rejectionReason(KeyValueStore store) {
            if (value.length() > MAX_VALUE_CHARACTERS) {
                return "value is too large";
            }
            return store.isLeaseValid(lease) ? "" : "requested lease not found";
        }

        @Override
        public ObjectNode apply(KeyValueStore store) {
            store.put(key, value, lease);
            // All changes of the transaction get the revision that the commit is going to create.
            ObjectNode response = Json.object();
            response.set("response_put", KeyValueServerCodec.newResponse(store.revision() + 1));
            return response;
        }
    }

    /** Reads a range of keys. */
    record Range(KeyRange range) implements TransactionOperation {
        @Override
        public String rejectionReason(KeyValueStore store) {
            return "";
        }

        @Override
        public ObjectNode apply(KeyValueStore store) {
            ObjectNode body = KeyValueServerCodec.newResponse(store.revision());
            KeyValueServerCodec.addEntries(body, store.range(range));
            ObjectNode response = Json.object();
            response.set("response_range", body);
            return response;
        }
    }

    /** Removes a range of keys. */
    record Delete(KeyRange range) implements TransactionOperation {
        @Override
        public String rejectionReason(KeyValueStore store) {
            return "";
        }

        @Override
        public ObjectNode apply(KeyValueStore store) {
            int deleted = store.delete(range);
            ObjectNode response = Json.object();
            response.putObject("response_delete_range").put("deleted", Integer.toString(deleted));
            return response;
        }
    }
}
