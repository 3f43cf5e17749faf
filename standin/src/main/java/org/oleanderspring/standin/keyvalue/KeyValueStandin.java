package org.oleanderspring.standin.keyvalue;

import java.time.Duration;
import org.oleanderspring.standin.http.Resource;
import org.oleanderspring.standin.http.ResourceServer;
import org.oleanderspring.standin.http.Routes;
import org.oleanderspring.standin.http.StateThread;
import org.oleanderspring.standin.keyvalue.command.DeleteResource;
import org.oleanderspring.standin.keyvalue.command.KeyValueFaultResource;
import org.oleanderspring.standin.keyvalue.command.LeaseResource;
import org.oleanderspring.standin.keyvalue.command.PutResource;
import org.oleanderspring.standin.keyvalue.command.TransactionResource;
import org.oleanderspring.standin.keyvalue.query.CallCountersResource;
import org.oleanderspring.standin.keyvalue.query.RangeResource;
import org.oleanderspring.standin.keyvalue.query.WatchResource;

/**
 * A simulated key-value service with its HTTP server, which speaks a subset of the HTTP/JSON form
 * of etcd v3.
 */
public final class KeyValueStandin implements AutoCloseable {
    private static final Duration LEASE_CHECK_PERIOD = Duration.ofMillis(50);

    private final StateThread mStateThread = new StateThread("keyvalue");
    private final WatchRegistry mWatches = new WatchRegistry();
    private final KeyValueStore mStore = new KeyValueStore(mWatches::publish);
    private final KeyValueFaults mFaults = new KeyValueFaults();
    private final CallCounters mCounters = new CallCounters();
    private final ResourceServer mServer;

    /**
     * Creates the server; {@link #start()} binds it.
     *
     * @param ip the IP address to listen on
     * @param port the port to listen on, or 0 for any free port
     * @param options the rate limits
     */
    public KeyValueStandin(String ip, int port, KeyValueOptions options) {
        mServer = new ResourceServer("keyvalue-http", ip, port, routes(options));
    }

    private Routes routes(KeyValueOptions options) {
        CallFilter filter = new CallFilter(mStateThread, mFaults, mCounters, options);
        LeaseResource leases = new LeaseResource(mStore);
        KeyValueFaultResource faults = new KeyValueFaultResource(mFaults, mStore, mWatches);
        CallCountersResource counts = new CallCountersResource(mCounters);
        Routes routes = new Routes();
        addRead(routes, filter, "/v3/kv/range", new RangeResource(mStore));
        addRead(routes, filter, "/v3/watch", new WatchResource(mStore, mWatches));
        addWrite(routes, filter, "/v3/kv/put", new PutResource(mStore));
        addWrite(routes, filter, "/v3/kv/txn", new TransactionResource(mStore));
        addWrite(routes, filter, "/v3/kv/deleterange", new DeleteResource(mStore));
        addWrite(routes, filter, "/v3/lease/grant", leases::grant);
        addWrite(routes, filter, "/v3/lease/keepalive", leases::keepAlive);
        addWrite(routes, filter, "/v3/lease/revoke", leases::revoke);
        routes.add("POST", "/faults", e -> mStateThread.handleRequest(e, () -> faults.handle(e)));
        routes.add("GET", "/counts", e -> mStateThread.handleRequest(e, () -> counts.handle(e)));
        return routes;
    }

    private static void addRead(Routes routes, CallFilter filter, String path, Resource resource) {
        routes.add("POST", path, filter.wrap(CallKind.READ, resource));
    }

    private static void addWrite(Routes routes, CallFilter filter, String path, Resource resource) {
        routes.add("POST", path, filter.wrap(CallKind.WRITE, resource));
    }

    /** Binds the port and starts to accept requests. */
    public void start() {
        mServer.start();
        mStateThread.scheduleAtFixedRate(
                LEASE_CHECK_PERIOD, () -> mStore.expireLeases(System.nanoTime()));
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
