package org.oleanderspring.standin.keyvalue.command;

import com.fasterxml.jackson.databind.JsonNode;
import org.oleanderspring.standin.http.Exchange;
import org.oleanderspring.standin.http.Json;
import org.oleanderspring.standin.http.Resource;
import org.oleanderspring.standin.keyvalue.KeyValueFaults;
import org.oleanderspring.standin.keyvalue.KeyValueStore;
import org.oleanderspring.standin.keyvalue.WatchRegistry;

/**
 * Handles requests that inject faults.
 *
 * <p>Besides the fields of {@link KeyValueFaults}, a request may contain {@code breakWatches} to
 * abort all watches, {@code lapseLease} with the ID of a lease to revoke, and {@code saveSnapshot}
 * or {@code restoreSnapshot} with the name of a snapshot. The fields are applied in this order. All
 * watches are also aborted if the service is down after the request or a snapshot was restored.
 */
public final class KeyValueFaultResource implements Resource {
    private final KeyValueFaults mFaults;
    private final KeyValueStore mStore;
    private final WatchRegistry mWatches;

    /**
     * Creates the resource.
     *
     * @param faults the injected faults
     * @param store the key-value store
     * @param watches the open watch streams
     */
    public KeyValueFaultResource(
            KeyValueFaults faults, KeyValueStore store, WatchRegistry watches) {
        mFaults = faults;
        mStore = store;
        mWatches = watches;
    }

    @Override
    public void handle(Exchange exchange) {
        JsonNode request = exchange.json();
        mFaults.update(request);
        if (mFaults.isDown() || request.path("breakWatches").asBoolean(false)) {
            mWatches.abortAll();
        }
        if (request.has("lapseLease")) {
            mStore.revokeLease(request.path("lapseLease").asLong());
        }
        if (request.has("saveSnapshot")) {
            mStore.saveSnapshot(request.path("saveSnapshot").asText());
        }
        if (request.has("restoreSnapshot")) {
            mStore.restoreSnapshot(request.path("restoreSnapshot").asText(), System.nanoTime());
            mWatches.abortAll();
        }
        exchange.reply(200, Json.object());
    }
}
