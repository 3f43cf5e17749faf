package org.oleanderspring.standin.keyvalue.command;

import com.fasterxml.jackson.databind.JsonNode;
import org.jspecify.annotations.Nullable;
import org.oleanderspring.standin.keyvalue.KeyValueEntry;
import org.oleanderspring.standin.keyvalue.KeyValueServerCodec;
import org.oleanderspring.standin.keyvalue.KeyValueStore;

/**
 * A condition in the {@code compare} list of a transaction.
 *
 * <p>A missing target is read as {@code VERSION} and a missing result as {@code EQUAL}. An absent
 * key has version 0 and revisions 0.
 */
final class TransactionCondition {
    private final JsonNode mRequest;

    TransactionCondition(JsonNode request) {
        mRequest = request;
    }

    boolean holds(KeyValueStore store) {
        KeyValueEntry entry = store.get(KeyValueServerCodec.readRange(mRequest).key());
        String target = mRequest.path("target").asText("VERSION");
        int order =
                switch (target) {
                    case "MOD" -> compare(entry == null ? 0 : entry.modRevision(), "mod_revision");
                    case "CREATE" ->
                            compare(entry == null ? 0 : entry.createRevision(), "create_revision");
                    case "VERSION" -> compare(entry == null ? 0 : entry.version(), "version");
                    case "VALUE" -> compareValue(entry);
                    default -> throw new IllegalArgumentException("unknown target: " + target);
                };
        String result = mRequest.path("result").asText("EQUAL");
        return switch (result) {
            case "EQUAL" -> order == 0;
            case "NOT_EQUAL" -> order != 0;
            case "GREATER" -> order > 0;
            case "LESS" -> order < 0;
            default -> throw new IllegalArgumentException("unknown result: " + result);
        };
    }

    private int compare(long present, String field) {
        return Long.compare(present, mRequest.path(field).asLong(0));
    }

    /**
     * Compares the base64 encodings. The result is right for equality only, since base64 does not
     * keep the order of the bytes. A missing key is unequal to every value.
     */
    private int compareValue(@Nullable KeyValueEntry entry) {
        return entry == null ? -1 : entry.value().compareTo(mRequest.path("value").asText(""));
    }
}
