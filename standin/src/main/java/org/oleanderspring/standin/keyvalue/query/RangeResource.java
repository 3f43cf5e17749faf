package org.oleanderspring.standin.keyvalue.query;

import com.fasterxml.jackson.databind.node.ObjectNode;
import org.oleanderspring.standin.http.Exchange;
import org.oleanderspring.standin.http.Resource;
import org.oleanderspring.standin.keyvalue.KeyValueServerCodec;
import org.oleanderspring.standin.keyvalue.KeyValueStore;

/** Handles reads of one key or a range of keys. */
public final class RangeResource implements Resource {
    private final KeyValueStore mStore;

    /**
     * Creates the resource.
     *
     * @param store the key-value store
     */
    public RangeResource(KeyValueStore store) {
        mStore = store;
    }

    @Override
    public void handle(Exchange exchange) {
        ObjectNode response = KeyValueServerCodec.newResponse(mStore.revision());
        KeyValueServerCodec.addEntries(
                response, mStore.range(KeyValueServerCodec.readRange(exchange.json())));
        exchange.reply(200, response);
    }
}
