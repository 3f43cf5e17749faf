package org.oleanderspring.standin.service;

import java.time.Duration;
import org.oleanderspring.standin.http.ResourceServer;
import org.oleanderspring.standin.http.Routes;
import org.oleanderspring.standin.http.StateThread;
import org.oleanderspring.standin.service.command.WorkResource;
import org.oleanderspring.standin.service.query.ServiceLedgerResource;

/** A plain service as one server. */
public final class ServiceStandin implements AutoCloseable {
    private final StateThread mDuty = new StateThread("service");
    private final ResourceServer mServer;

    /**
     * Creates the server; {@link #start()} binds it.
     *
     * @param ip the IP number to listen on
     * @param port the port to listen on, or 0 for any
     * @param delay how long the work takes
     */
    public ServiceStandin(String ip, int port, Duration delay) {
        ServiceState state = new ServiceState(delay);
        WorkResource work = new WorkResource(mDuty, state);
        ServiceLedgerResource ledger = new ServiceLedgerResource(state);
        Routes routes = new Routes();
        routes.add("GET", "/ledger", e -> mDuty.handleRequest(e, () -> ledger.handle(e)));
        routes.add("POST", "/faults", e -> mDuty.handleRequest(e, () -> work.setFaults(e)));
        routes.add("*", "/*", e -> mDuty.handleRequest(e, () -> work.run(e)));
        mServer = new ResourceServer("service-http", ip, port, routes);
    }

    /** Binds the port and begins to answer. */
    public void start() {
        mServer.start();
    }

    /** Returns the port on which the service listens. */
    public int port() {
        return mServer.port();
    }

    @Override
    public void close() {
        mServer.close();
        mDuty.close();
    }
}
