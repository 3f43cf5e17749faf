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

/** The VM list as one server. */
public final class VmListStandin implements AutoCloseable {
    private final StateThread mDuty = new StateThread("vmlist");
    private final ResourceServer mServer;

    /**
     * Creates the server; {@link #start()} binds it.
     *
     * @param ip the IP number to listen on
     * @param port the port to listen on, or 0 for any
     * @param lag how far readers are behind
     * @param initial the first list
     */
    public VmListStandin(String ip, int port, Duration lag, JsonNode initial) {
        LaggedValue<JsonNode> list = new LaggedValue<>(lag, initial, Instant.now());
        VmListResource show = new VmListResource(list);
        VmListReplaceResource replace = new VmListReplaceResource(list);
        Routes routes = new Routes();
        routes.add("GET", "/vms", e -> mDuty.handleRequest(e, () -> show.handle(e)));
        routes.add("PUT", "/vms", e -> mDuty.handleRequest(e, () -> replace.handle(e)));
        mServer = new ResourceServer("vmlist-http", ip, port, routes);
    }

    /** Binds the port and begins to answer. */
    public void start() {
        mServer.start();
    }

    /** Returns the port on which the list is served. */
    public int port() {
        return mServer.port();
    }

    @Override
    public void close() {
        mServer.close();
        mDuty.close();
    }
}
