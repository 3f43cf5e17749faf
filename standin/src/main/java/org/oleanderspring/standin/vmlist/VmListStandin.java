package org.oleanderspring.standin.vmlist;

import com.fasterxml.jackson.databind.JsonNode;
import java.time.Duration;
import java.time.Instant;
import org.oleanderspring.standin.http.LaggedValue;
import org.oleanderspring.standin.http.ResourceServer;
import org.oleanderspring.standin.http.Routes;
import org.oleanderspring.standin.http.StateThread;
import org.oleanderspring.standin.vmlist.command.VmListReplaceResource;
import org.oleanderspring.standin.vmlist.query.VmListResource;

/** A simulated VM list with its HTTP server. */
public final class VmListStandin implements AutoCloseable {
    private final StateThread mStateThread = new StateThread("vmlist");
    private final ResourceServer mServer;

    /**
     * Creates the server; {@link #start()} binds it.
     *
     * @param ip the IP address to listen on
     * @param port the port to listen on, or 0 for any free port
     * @param lag the time until a change is visible to readers
     * @param initial the initial list, an object with the arrays {@code vms} and {@code entries};
     *     visible at once
     */
    public VmListStandin(String ip, int port, Duration lag, JsonNode initial) {
        LaggedValue<JsonNode> list = new LaggedValue<>(lag, initial, Instant.now());
        VmListResource read = new VmListResource(list);
        VmListReplaceResource replace = new VmListReplaceResource(list);
        Routes routes = new Routes();
        routes.add("GET", "/vms", e -> mStateThread.handleRequest(e, () -> read.handle(e)));
        routes.add("PUT", "/vms", e -> mStateThread.handleRequest(e, () -> replace.handle(e)));
        mServer = new ResourceServer("vmlist-http", ip, port, routes);
    }

    /** Binds the port and starts to accept requests. */
    public void start() {
        mServer.start();
    }

    /** Returns the port that the server listens on; valid after {@link #start()}. */
    public int port() {
        return mServer.port();
    }

    @Override
    public void close() {
        mServer.close();
        mStateThread.close();
    }
}
