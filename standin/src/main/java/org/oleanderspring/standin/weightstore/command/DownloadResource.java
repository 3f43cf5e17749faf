package org.oleanderspring.standin.weightstore.command;

import com.fasterxml.jackson.databind.node.ObjectNode;
import org.oleanderspring.standin.http.Exchange;
import org.oleanderspring.standin.http.Json;
import org.oleanderspring.standin.weightstore.DownloadTracker;

/** Handles requests that start or end downloads, and requests that set faults. */
public final class DownloadResource {
    private final DownloadTracker mDownloads;

    /**
     * Creates the resource.
     *
     * @param downloads the tracker of downloads
     */
    public DownloadResource(DownloadTracker downloads) {
        mDownloads = downloads;
    }

    /**
     * Starts a download and replies with its permit; 429 if the limit of starts per second is
     * reached.
     *
     * @param exchange the request and its response
     */
    public void start(Exchange exchange) {
        boolean adapter = exchange.json().path("adapter").asBoolean(false);
        long now = System.nanoTime();
        if (!mDownloads.tryAdmit(adapter, now)) {
            exchange.replyError(429, "over_budget", "too many loads a second");
            return;
        }
        ObjectNode response = Json.object();
        response.put("permit", mDownloads.start(adapter, now));
        response.put("slowdownPerMille", mDownloads.slowdownPerMille(adapter));
        exchange.reply(200, response);
    }

    /**
     * Ends a download; 404 if it is not running.
     *
     * @param exchange the request and its response
     */
    public void end(Exchange exchange) {
        long permit = Long.parseLong(exchange.pathBetween("/v1/downloads/", ""));
        exchange.reply(mDownloads.end(permit) ? 200 : 404, Json.object());
    }

    /**
     * Slows down the downloads that start from now on by the factor {@code slowFactor}; without it,
     * the slowdown ends.
     *
     * @param exchange the request and its response
     */
    public void setFaults(Exchange exchange) {
        mDownloads.setSlowdown(exchange.json().path("slowFactor").asLong(1));
        exchange.reply(200, Json.object());
    }
}
