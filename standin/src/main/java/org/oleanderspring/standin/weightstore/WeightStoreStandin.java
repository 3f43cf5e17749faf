package org.oleanderspring.standin.weightstore;

import com.fasterxml.jackson.databind.JsonNode;
import org.oleanderspring.standin.http.ResourceServer;
import org.oleanderspring.standin.http.Routes;
import org.oleanderspring.standin.http.StateThread;
import org.oleanderspring.standin.weightstore.command.DownloadResource;
import org.oleanderspring.standin.weightstore.query.CatalogueResource;

/** A simulated weight store with its HTTP server; it grants permits and sends no weights. */
public final class WeightStoreStandin implements AutoCloseable {
    private final StateThread mStateThread = new StateThread("weightstore");
    private final ResourceServer mServer;

    /**
     * Creates the server; {@link #start()} binds it.
     *
     * @param ip the IP address to listen on
     * @param port the port to listen on, or 0 for any free port
     * @param options the limits
     * @param catalogue the checkpoint catalogue, an object with the array {@code checkpoints}
     */
    public WeightStoreStandin(String ip, int port, WeightStoreOptions options, JsonNode catalogue) {
        DownloadTracker tracker = new DownloadTracker(options);
        DownloadResource downloadResource = new DownloadResource(tracker);
        CatalogueResource catalogueResource = new CatalogueResource(catalogue, tracker);
        Routes routes = new Routes();
        routes.add(
                "GET",
                "/v1/checkpoints",
                e -> mStateThread.handleRequest(e, () -> catalogueResource.list(e)));
        routes.add(
                "POST",
                "/v1/downloads",
                e -> mStateThread.handleRequest(e, () -> downloadResource.start(e)));
        routes.add(
                "DELETE",
                "/v1/downloads/*",
                e -> mStateThread.handleRequest(e, () -> downloadResource.end(e)));
        routes.add(
                "GET",
                "/ledger",
                e -> mStateThread.handleRequest(e, () -> catalogueResource.ledger(e)));
        routes.add(
                "POST",
                "/faults",
                e -> mStateThread.handleRequest(e, () -> downloadResource.setFaults(e)));
        mServer = new ResourceServer("weightstore-http", ip, port, routes);
    }

    /** Binds the port and starts to accept requests. */
    public void start() {
        mServer.start();
    }

    /** Returns the port that the store listens on; valid after {@link #start()}. */
    public int port() {
        return mServer.port();
    }

    @Override
    public void close() {
        mServer.close();
        mStateThread.close();
    }
}
