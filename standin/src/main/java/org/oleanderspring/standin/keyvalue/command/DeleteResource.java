package org.oleanderspring.standin.keyvalue.command;

import org.oleanderspring.standin.http.Exchange;
import org.oleanderspring.standin.http.Resource;
import org.oleanderspring.standin.keyvalue.KeyValueServerCodec;
import org.oleanderspring.standin.keyvalue.KeyValueStore;

/** Handles the removal of a range of keys. */
public final class DeleteResource implements Resource {
    private final KeyValueStore mStore;

    /**
     * Creates the resource.
     *
     * @param store the key-value store
     */
    public DeleteResource(KeyValueStore store) {
        mStore = store;
    }

    @Override
    public void handle(Exchange exchange) {
        int deleted = mStore.delete(KeyValueServerCodec.readRange(exchange.json()));
        mStore.commit();
        exchange.reply(
                200,
                KeyValueServerCodec.newResponse(mStore.revision())
                        .put("deleted", Integer.toString(deleted)));
    }
}
