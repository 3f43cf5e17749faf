package org.oleanderspring.standin.weightstore.command;

import com.fasterxml.jackson.databind.node.ObjectNode;
import org.oleanderspring.standin.http.Exchange;
import org.oleanderspring.standin.http.Json;
import org.oleanderspring.standin.weightstore.DownloadTracker;

/** Starts and ends downloads. */
public final class DownloadResource {
    private final DownloadTracker mDownloads;

    /**
     * Creates the resource.
     *
     * @param downloads the state
     */
    public DownloadResource(DownloadTracker downloads) {
        mDownloads = downloads;
    }

    /**
     * Starts a download, or refuses it with 429.
     *
     * @param exchange the request
     */
    public void start(Exchange exchange) {
        boolean adapter = exchange.json().path("adapter").asBoolean(false);
        long now = System.nanoTime();
        if (!mDownloads.tryAdmit(adapter, now)) {
            exchange.replyError(429, "over_budget", "too many loads a second");
            return;
        }
        ObjectNode answer = Json.object();
        answer.put("permit", mDownloads.start(adapter, now));
        answer.put("slowdownPerMille", mDownloads.slowdownPerMille(adapter));
        exchange.reply(200, answer);
    }

    /**
     * Ends a download.
     *
     * @param exchange the request
     */
    public void end(Exchange exchange) {
        long permit = Long.parseLong(exchange.pathBetween("/v1/downloads/", ""));
        exchange.reply(mDownloads.end(permit) ? 200 : 404, Json.object());
    }

    /**
     * Makes all downloads slower by the factor {@code slowFactor}.
     *
     * @param exchange the request
     */
    public void setFaults(Exchange exchange) {
        mDownloads.setSlowdown(exchange.json().path("slowFactor").asLong(1));
        exchange.reply(200, Json.object());
    }
}
