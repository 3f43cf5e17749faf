package org.oleanderspring.standin.weightstore;

import com.fasterxml.jackson.databind.JsonNode;
import org.oleanderspring.standin.http.ResourceServer;
import org.oleanderspring.standin.http.Routes;
import org.oleanderspring.standin.http.StateThread;
import org.oleanderspring.standin.weightstore.command.DownloadResource;
import org.oleanderspring.standin.weightstore.query.CatalogueResource;

/** The weight store as one server. */
public final class WeightStoreStandin implements AutoCloseable {
    private final StateThread mDuty = new StateThread("weightstore");
    private final ResourceServer mServer;

    /**
     * Creates the server; {@link #start()} binds it.
     *
     * @param ip the IP number to listen on
     * @param port the port to listen on, or 0 for any
     * @param options the limits
     * @param catalogue the document with the array {@code checkpoints}
     */
    public WeightStoreStandin(String ip, int port, WeightStoreOptions options, JsonNode catalogue) {
        DownloadTracker downloads = new DownloadTracker(options);
        DownloadResource change = new DownloadResource(downloads);
        CatalogueResource show = new CatalogueResource(catalogue, downloads);
        Routes routes = new Routes();
        routes.add("GET", "/v1/checkpoints", e -> mDuty.handleRequest(e, () -> show.list(e)));
        routes.add("POST", "/v1/downloads", e -> mDuty.handleRequest(e, () -> change.start(e)));
        routes.add("DELETE", "/v1/downloads/*", e -> mDuty.handleRequest(e, () -> change.end(e)));
        routes.add("GET", "/ledger", e -> mDuty.handleRequest(e, () -> show.ledger(e)));
        routes.add("POST", "/faults", e -> mDuty.handleRequest(e, () -> change.setFaults(e)));
        mServer = new ResourceServer("weightstore-http", ip, port, routes);
    }

    /** Binds the port and begins to answer. */
    public void start() {
        mServer.start();
    }

    /** Returns the port on which the store is served. */
    public int port() {
        return mServer.port();
    }

    @Override
    public void close() {
        mServer.close();
        mDuty.close();
    }
}
