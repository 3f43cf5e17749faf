package org.oleanderspring.standin.keyvalue.command;

import org.oleanderspring.standin.http.Exchange;
import org.oleanderspring.standin.http.Resource;
import org.oleanderspring.standin.keyvalue.KeyValueServerCodec;
import org.oleanderspring.standin.keyvalue.KeyValueStore;

/** Handles the unconditional write of a key. */
public final class PutResource implements Resource {
    private final KeyValueStore mStore;

    /**
     * Creates the resource.
     *
     * @param store the key-value store
     */
    public PutResource(KeyValueStore store) {
        mStore = store;
    }

    @Override
    public void handle(Exchange exchange) {
        TransactionOperation put = TransactionOperation.put(exchange.json());
        if (!put.isAllowed(mStore)) {
            exchange.replyError(
                    put.rejectionStatus(mStore), "refused", put.rejectionReason(mStore));
            return;
        }
        put.apply(mStore);
        mStore.commit();
        exchange.reply(200, KeyValueServerCodec.newResponse(mStore.revision()));
    }
}
