package org.oleanderspring.standin.keyvalue.command;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Duration;
import org.oleanderspring.standin.http.Exchange;
import org.oleanderspring.standin.http.Json;
import org.oleanderspring.standin.keyvalue.KeyValueServerCodec;
import org.oleanderspring.standin.keyvalue.KeyValueStore;

/** Grants, renews and revokes leases. */
public final class LeaseResource {
    private final KeyValueStore mStore;

    /**
     * Creates the resource.
     *
     * @param store the store
     */
    public LeaseResource(KeyValueStore store) {
        mStore = store;
    }

    /**
     * Grants a lease.
     *
     * @param exchange the request
     */
    public void grant(Exchange exchange) {
        long seconds = exchange.json().path("TTL").asLong(0);
        if (seconds < 1) {
            throw new IllegalArgumentException("TTL is not positive");
        }
        long lease = mStore.grantLease(Duration.ofSeconds(seconds), System.nanoTime());
        exchange.reply(
                200,
                KeyValueServerCodec.newResponse(mStore.revision())
                        .put("ID", Long.toString(lease))
                        .put("TTL", Long.toString(seconds)));
    }

    /**
     * Renews a lease; a lease that is not held is answered without a time to live.
     *
     * @param exchange the request
     */
    public void keepAlive(Exchange exchange) {
        long lease = exchange.json().path("ID").asLong(0);
        Duration timeToLive = mStore.renewLease(lease, System.nanoTime());
        ObjectNode result = KeyValueServerCodec.newResponse(mStore.revision());
        result.put("ID", Long.toString(lease));
        if (timeToLive != null) {
            result.put("TTL", Long.toString(timeToLive.toSeconds()));
        }
        ObjectNode answer = Json.object();
        answer.set("result", result);
        exchange.reply(200, answer);
    }

    /**
     * Ends a lease.
     *
     * @param exchange the request
     */
    public void revoke(Exchange exchange) {
        if (!mStore.revokeLease(exchange.json().path("ID").asLong(0))) {
            exchange.replyError(404, "not_found", "requested lease not found");
            return;
        }
        exchange.reply(200, KeyValueServerCodec.newResponse(mStore.revision()));
    }
}
