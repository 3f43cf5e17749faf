package org.oleanderspring.standin.keyvalue.query;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import org.oleanderspring.standin.http.ChunkWriter;
import org.oleanderspring.standin.http.Exchange;
import org.oleanderspring.standin.http.Resource;
import org.oleanderspring.standin.keyvalue.KeyChange;
import org.oleanderspring.standin.keyvalue.KeyRange;
import org.oleanderspring.standin.keyvalue.KeyValueServerCodec;
import org.oleanderspring.standin.keyvalue.KeyValueStore;
import org.oleanderspring.standin.keyvalue.WatchRegistry;

/**
 * Handles watches: streams the changes of a range of keys. A start revision that was compacted ends
 * the stream with a message that contains {@code compact_revision}; without a start revision, only
 * later changes are sent.
 */
public final class WatchResource implements Resource {
    private final KeyValueStore mStore;
    private final WatchRegistry mWatches;

    /**
     * Creates the resource.
     *
     * @param store the key-value store
     * @param watches the registry of open watch streams
     */
    public WatchResource(KeyValueStore store, WatchRegistry watches) {
        mStore = store;
        mWatches = watches;
    }

    @Override
    public void handle(Exchange exchange) {
        JsonNode request = exchange.json().path("create_request");
        KeyRange range = KeyValueServerCodec.readRange(request);
        long start = request.path("start_revision").asLong(0);
        ChunkWriter writer = exchange.stream("application/json");
        writer.send(KeyValueServerCodec.streamLine(createdMessage()));
        if (start > 0 && start <= mStore.compactedRevision()) {
            writer.send(KeyValueServerCodec.streamLine(compactedMessage()));
            writer.end();
            return;
        }
        List<KeyChange> past = start > 0 ? mStore.changesFrom(start, range) : List.of();
        if (!past.isEmpty()) {
            writer.send(KeyValueServerCodec.watchMessage(past, mStore.revision()));
        }
        mWatches.add(range, writer);
    }

    private ObjectNode createdMessage() {
        return KeyValueServerCodec.newResponse(mStore.revision()).put("created", true);
    }

    private ObjectNode compactedMessage() {
        return KeyValueServerCodec.newResponse(mStore.revision())
                .put("canceled", true)
                .put("compact_revision", Long.toString(mStore.compactedRevision()));
    }
}
