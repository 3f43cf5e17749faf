package org.oleanderspring.standin.weightstore.query;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.oleanderspring.standin.http.Exchange;
import org.oleanderspring.standin.http.Json;
import org.oleanderspring.standin.weightstore.DownloadTracker;

/** Shows the catalogue and the ledger of downloads. */
public final class CatalogueResource {
    private final JsonNode mCatalogue;
    private final DownloadTracker mDownloads;

    /**
     * Creates the resource.
     *
     * @param catalogue the document with the array {@code checkpoints}
     * @param downloads the state
     */
    public CatalogueResource(JsonNode catalogue, DownloadTracker downloads) {
        mCatalogue = catalogue;
        mDownloads = downloads;
    }

    /**
     * Shows the catalogue.
     *
     * @param exchange the request
     */
    public void list(Exchange exchange) {
        exchange.reply(200, mCatalogue);
    }

    /**
     * Shows what was downloaded.
     *
     * @param exchange the request
     */
    public void ledger(Exchange exchange) {
        ObjectNode answer = Json.object();
        answer.put("started", mDownloads.started());
        answer.put("refused", mDownloads.refused());
        answer.put("peakModels", mDownloads.peakModels());
        answer.put("peakAdapters", mDownloads.peakAdapters());
        exchange.reply(200, answer);
    }
}
