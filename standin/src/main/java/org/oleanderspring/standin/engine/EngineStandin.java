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

/** A model engine as one server. */
public final class EngineStandin implements AutoCloseable {
    private final StateThread mDuty = new StateThread("engine");
    private final ResourceServer mServer;

    /**
     * Creates the server; {@link #start()} binds it.
     *
     * @param ip the IP number to listen on
     * @param port the port to listen on, or 0 for any
     * @param options the settings
     * @param catalogue the catalogue of the weight store
     * @param weightStore the weight store, or null to load without permits
     * @param crash ends the process
     */
    public EngineStandin(
            String ip,
            int port,
            EngineOptions options,
            JsonNode catalogue,
            @Nullable WeightStoreClient weightStore,
            Runnable crash) {
        EngineState state = new EngineState(options, CatalogueEntry.readAll(catalogue));
        AttemptExecutor generator = new AttemptExecutor(mDuty, state);
        CheckpointLoader loader = new CheckpointLoader(mDuty, state, weightStore, generator, crash);
        EngineQueryResource views = new EngineQueryResource(state);
        Routes routes = new Routes();
        add(routes, "POST", "/v1/chat/completions", new CompletionResource(state, generator, true));
        add(routes, "POST", "/v1/completions", new CompletionResource(state, generator, false));
        add(routes, "DELETE", "/v1/attempts/*", new CancelResource(state, generator));
        add(routes, "GET", "/v1/attempts/*/stream", new StreamResource(state));
        add(routes, "POST", "/orders", new OrderResource(state, loader));
        add(routes, "GET", "/report", views::report);
        add(routes, "GET", "/cache-events", views::cacheEvents);
        add(routes, "POST", "/faults", new EngineFaultResource(state));
        add(routes, "GET", "/ledger", views::ledger);
        mServer = new ResourceServer("engine-http", ip, port, routes);
    }

    private void add(Routes routes, String method, String path, Resource resource) {
        routes.add(method, path, e -> mDuty.handleRequest(e, () -> resource.handle(e)));
    }

    /** Binds the port and begins to answer. */
    public void start() {
        mServer.start();
    }

    /** Returns the port on which the engine listens. */
    public int port() {
        return mServer.port();
    }

    @Override
    public void close() {
        mServer.close();
        mDuty.close();
    }
}
