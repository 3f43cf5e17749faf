package org.oleanderspring.standin.keyvalue.command;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.oleanderspring.standin.http.Json;
import org.oleanderspring.standin.keyvalue.KeyRange;
import org.oleanderspring.standin.keyvalue.KeyValueServerCodec;
import org.oleanderspring.standin.keyvalue.KeyValueStore;

/** One step of a transaction. */
sealed interface TransactionOperation {
    /** The largest value that the service holds. */
    int VALUE_LIMIT_BYTES = 1 << 20;

    /** Base64 writes three bytes as four characters. */
    int VALUE_LIMIT_CHARACTERS = (VALUE_LIMIT_BYTES + 2) / 3 * 4;

    /** Returns why the step is refused, or an empty text. */
    String rejectionReason(KeyValueStore store);

    /** Carries the step out and returns its answer. */
    ObjectNode apply(KeyValueStore store);

    /** Returns whether the step is allowed. */
    default boolean isAllowed(KeyValueStore store) {
        return rejectionReason(store).isEmpty();
    }

    /** Returns the status of a refusal. */
    default int rejectionStatus(KeyValueStore store) {
        return rejectionReason(store).contains("lease") ? 404 : 400;
    }

    /** Reads the write of a put request. */
    static TransactionOperation put(JsonNode request) {
        return new Put(
                KeyValueServerCodec.range(request).key(),
                request.path("value").asText(""),
                request.path("lease").asLong(0));
    }

    /** Reads one step of a transaction. */
    static TransactionOperation read(JsonNode step) {
        if (step.has("request_put") || step.has("requestPut")) {
            return put(step.path(step.has("request_put") ? "request_put" : "requestPut"));
        }
        if (step.has("request_range")) {
            return new Range(KeyValueServerCodec.range(step.path("request_range")));
        }
        if (step.has("request_delete_range")) {
            return new Delete(KeyValueServerCodec.range(step.path("request_delete_range")));
        }
        throw new IllegalArgumentException("unknown operation: " + step);
    }

    /** Writes a key. */
    record Put(String key, String value, long lease) implements TransactionOperation {
        @Override
        public String rejectionReason(KeyValueStore store) {
            if (value.length() > VALUE_LIMIT_CHARACTERS) {
                return "value is too large";
            }
            return store.isLeaseValid(lease) ? "" : "requested lease not found";
        }

        @Override
        public ObjectNode apply(KeyValueStore store) {
            store.put(key, value, lease);
            ObjectNode answer = Json.object();
            answer.set("response_put", KeyValueServerCodec.newResponse(store.revision() + 1));
            return answer;
        }
    }

    /** Reads keys. */
    record Range(KeyRange range) implements TransactionOperation {
        @Override
        public String rejectionReason(KeyValueStore store) {
            return "";
        }

        @Override
        public ObjectNode apply(KeyValueStore store) {
            ObjectNode body = KeyValueServerCodec.newResponse(store.revision());
            KeyValueServerCodec.addEntries(body, store.range(range));
            ObjectNode answer = Json.object();
            answer.set("response_range", body);
            return answer;
        }
    }

    /** Removes keys. */
    record Delete(KeyRange range) implements TransactionOperation {
        @Override
        public String rejectionReason(KeyValueStore store) {
            return "";
        }

        @Override
        public ObjectNode apply(KeyValueStore store) {
            int deleted = store.delete(range);
            ObjectNode answer = Json.object();
            answer.putObject("response_delete_range").put("deleted", Integer.toString(deleted));
            return answer;
        }
    }
}
