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

/** Streams the changes of a range of keys; a start revision that is no longer kept ends it. */
public final class WatchResource implements Resource {
    private final KeyValueStore mStore;
    private final WatchRegistry mWatches;

    /**
     * Creates the resource.
     *
     * @param store the store
     * @param watches the open watches
     */
    public WatchResource(KeyValueStore store, WatchRegistry watches) {
        mStore = store;
        mWatches = watches;
    }

    @Override
    public void handle(Exchange exchange) {
        JsonNode request = exchange.json().path("create_request");
        KeyRange range = KeyValueServerCodec.range(request);
        long start = request.path("start_revision").asLong(0);
        ChunkWriter writer = exchange.stream("application/json");
        writer.send(KeyValueServerCodec.streamLine(created()));
        if (start > 0 && start <= mStore.compactedRevision()) {
            writer.send(KeyValueServerCodec.streamLine(compacted()));
            writer.end();
            return;
        }
        List<KeyChange> missed = start > 0 ? mStore.changesFrom(start, range) : List.of();
        if (!missed.isEmpty()) {
            writer.send(KeyValueServerCodec.watchMessage(missed, mStore.revision()));
        }
        mWatches.add(range, writer);
    }

    private ObjectNode created() {
        return KeyValueServerCodec.newResponse(mStore.revision()).put("created", true);
    }

    private ObjectNode compacted() {
        return KeyValueServerCodec.newResponse(mStore.revision())
                .put("canceled", true)
                .put("compact_revision", Long.toString(mStore.compactedRevision()));
    }
}
