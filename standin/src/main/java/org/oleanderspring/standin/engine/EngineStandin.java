package org.oleanderspring.standin.engine;

import com.fasterxml.jackson.databind.JsonNode;
import org.jspecify.annotations.Nullable;
import org.oleanderspring.standin.engine.command.AttemptExecutor;
import org.oleanderspring.standin.engine.command.CancelResource;
import org.oleanderspring.standin.engine.command.CheckpointLoader;
import org.oleanderspring.standin.engine.command.CompletionResource;
import org.oleanderspring.standin.engine.command.EngineFaultResource;
import org.oleanderspring.standin.engine.command.OrderResource;
import org.oleanderspring.standin.engine.command.WeightStoreClient;
import org.oleanderspring.standin.engine.query.EngineQueryResource;
import org.oleanderspring.standin.engine.query.StreamResource;
import org.oleanderspring.standin.http.Resource;
import org.oleanderspring.standin.http.ResourceServer;
import org.oleanderspring.standin.http.Routes;
import org.oleanderspring.standin.http.StateThread;

/** A simulated model engine with its HTTP server. */
public final class EngineStandin implements AutoCloseable {
    private final StateThread mStateThread = new StateThread("engine");
    private final ResourceServer mServer;

    /**
     * Creates the server; {@link #start()} binds it.
     *
     * @param ip the IP address to listen on
     * @param port the port to listen on, or 0 for any free port
     * @param options the engine options
     * @param catalogue the catalogue of the weight store
     * @param weightStore the client of the weight store, or null to load without download permits;
     *     {@link #close()} does not close it
     * @param crash the action that simulates a crash of the process, run on the state thread
     */
    public EngineStandin(
            String ip,
            int port,
            EngineOptions options,
            JsonNode catalogue,
            @Nullable WeightStoreClient weightStore,
            Runnable crash) {
        EngineState state = new EngineState(options, CatalogueEntry.readAll(catalogue));
        AttemptExecutor executor = new AttemptExecutor(mStateThread, state);
        CheckpointLoader loader =
                new CheckpointLoader(mStateThread, state, weightStore, executor, crash);
        EngineQueryResource queries = new EngineQueryResource(state);
        Routes routes = new Routes();
        addRoute(
                routes,
                "POST",
                "/v1/chat/completions",
                new CompletionResource(state, executor, true));
        addRoute(routes, "POST", "/v1/completions", new CompletionResource(state, executor, false));
        addRoute(routes, "DELETE", "/v1/attempts/*", new CancelResource(state, executor));
        addRoute(routes, "GET", "/v1/attempts/*/stream", new StreamResource(state));
        addRoute(routes, "POST", "/orders", new OrderResource(state, loader));
        addRoute(routes, "GET", "/report", queries::report);
        addRoute(routes, "GET", "/cache-events", queries::cacheEvents);
        addRoute(routes, "POST", "/faults", new EngineFaultResource(state));
        addRoute(routes, "GET", "/ledger", queries::ledger);
        mServer = new ResourceServer("engine-http", ip, port, routes);
    }

    private void addRoute(Routes routes, String method, String path, Resource resource) {
        routes.add(method, path, e -> mStateThread.handleRequest(e, () -> resource.handle(e)));
    }

    /** Binds the port and starts to accept requests. */
    public void start() {
        mServer.start();
    }

    /** Returns the port that the engine listens on; valid after {@link #start()}. */
    public int port() {
        return mServer.port();
    }

    @Override
    public void close() {
        mServer.close();
        mStateThread.close();
    }
}
