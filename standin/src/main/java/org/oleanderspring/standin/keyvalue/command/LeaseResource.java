package org.oleanderspring.standin.keyvalue.command;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Duration;
import org.oleanderspring.standin.http.Exchange;
import org.oleanderspring.standin.http.Json;
import org.oleanderspring.standin.keyvalue.KeyValueServerCodec;
import org.oleanderspring.standin.keyvalue.KeyValueStore;

/** Handles the grant, renewal and revocation of leases. */
public final class LeaseResource {
    private final KeyValueStore mStore;

    /**
     * Creates the resource.
     *
     * @param store the key-value store
     */
    public LeaseResource(KeyValueStore store) {
        mStore = store;
    }

    /**
     * Grants a lease with the {@code TTL} of the request, in seconds, at least 1.
     *
     * @param exchange the request and its response
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
     * Renews a lease. The response for an unknown lease has no {@code TTL}.
     *
     * @param exchange the request and its response
     */
    public void keepAlive(Exchange exchange) {
        long lease = exchange.json().path("ID").asLong(0);
        Duration timeToLive = mStore.renewLease(lease, System.nanoTime());
        ObjectNode result = KeyValueServerCodec.newResponse(mStore.revision());
        result.put("ID", Long.toString(lease));
        if (timeToLive != null) {
            result.put("TTL", Long.toString(timeToLive.toSeconds()));
        }
        ObjectNode response = Json.object();
        response.set("result", result);
        exchange.reply(200, response);
    }

    /**
     * Revokes a lease; 404 if it is unknown.
     *
     * @param exchange the request and its response
     */
    public void revoke(Exchange exchange) {
        if (!mStore.revokeLease(exchange.json().path("ID").asLong(0))) {
            exchange.replyError(404, "not_found", "requested lease not found");
            return;
        }
        exchange.reply(200, KeyValueServerCodec.newResponse(mStore.revision()));
    }
}
