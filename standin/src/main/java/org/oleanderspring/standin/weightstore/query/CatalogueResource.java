package org.oleanderspring.standin.weightstore.query;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.oleanderspring.standin.http.Exchange;
import org.oleanderspring.standin.http.Json;
import org.oleanderspring.standin.weightstore.DownloadTracker;

/** Handles requests for the checkpoint catalogue and for the download statistics. */
public final class CatalogueResource {
    private final JsonNode mCatalogue;
    private final DownloadTracker mDownloads;

    /**
     * Creates the resource.
     *
     * @param catalogue the checkpoint catalogue, an object with the array {@code checkpoints}
     * @param downloads the tracker of downloads
     */
    public CatalogueResource(JsonNode catalogue, DownloadTracker downloads) {
        mCatalogue = catalogue;
        mDownloads = downloads;
    }

    /**
     * Sends the checkpoint catalogue.
     *
     * @param exchange the request and its response
     */
    public void list(Exchange exchange) {
        exchange.reply(200, mCatalogue);
    }

    /**
     * Sends the counts of started and refused downloads and the peaks of concurrent ones.
     *
     * @param exchange the request and its response
     */
    public void ledger(Exchange exchange) {
        ObjectNode response = Json.object();
        response.put("started", mDownloads.started());
        response.put("refused", mDownloads.refused());
        response.put("peakModels", mDownloads.peakModels());
        response.put("peakAdapters", mDownloads.peakAdapters());
        exchange.reply(200, response);
    }
}
