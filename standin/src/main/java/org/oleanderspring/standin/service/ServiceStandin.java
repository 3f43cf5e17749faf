package org.oleanderspring.standin.service;

import java.time.Duration;
import org.oleanderspring.standin.http.ResourceServer;
import org.oleanderspring.standin.http.Routes;
import org.oleanderspring.standin.http.StateThread;
import org.oleanderspring.standin.service.command.ServiceCallResource;
import org.oleanderspring.standin.service.query.ServiceLedgerResource;

/**
 * A simulated service without a model, with its HTTP server. Each request is a call, except for
 * {@code GET /ledger} and {@code POST /faults}.
 */
public final class ServiceStandin implements AutoCloseable {
    private final StateThread mStateThread = new StateThread("service");
    private final ResourceServer mServer;

    /**
     * Creates the server; {@link #start()} binds it.
     *
     * @param ip the IP address to listen on
     * @param port the port to listen on, or 0 for any free port
     * @param workDuration the duration of a call
     */
    public ServiceStandin(String ip, int port, Duration workDuration) {
        ServiceState state = new ServiceState(workDuration);
        ServiceCallResource calls = new ServiceCallResource(mStateThread, state);
        ServiceLedgerResource ledger = new ServiceLedgerResource(state);
        Routes routes = new Routes();
        routes.add("GET", "/ledger", e -> mStateThread.handleRequest(e, () -> ledger.handle(e)));
        routes.add("POST", "/faults", e -> mStateThread.handleRequest(e, () -> calls.setFaults(e)));
        routes.add("*", "/*", e -> mStateThread.handleRequest(e, () -> calls.handleCall(e)));
        mServer = new ResourceServer("service-http", ip, port, routes);
    }

    /** Binds the port and starts to accept requests. */
    public void start() {
        mServer.start();
    }

    /** Returns the port that the service listens on; valid after {@link #start()}. */
    public int port() {
        return mServer.port();
    }

    @Override
    public void close() {
        mServer.close();
        mStateThread.close();
    }
}
