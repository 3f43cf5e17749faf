package org.oleanderspring.standin.keyvalue;

import java.time.Duration;
import org.oleanderspring.standin.http.Resource;
import org.oleanderspring.standin.http.ResourceServer;
import org.oleanderspring.standin.http.Routes;
import org.oleanderspring.standin.http.StateDuty;
import org.oleanderspring.standin.keyvalue.command.DeleteResource;
import org.oleanderspring.standin.keyvalue.command.FaultResource;
import org.oleanderspring.standin.keyvalue.command.LeaseResource;
import org.oleanderspring.standin.keyvalue.command.PutResource;
import org.oleanderspring.standin.keyvalue.command.TransactionResource;
import org.oleanderspring.standin.keyvalue.query.CountsResource;
import org.oleanderspring.standin.keyvalue.query.RangeResource;
import org.oleanderspring.standin.keyvalue.query.WatchResource;

/** The key-value service as one server. */
public final class KeyValueStandin implements AutoCloseable {
    private static final Duration LEASE_CHECK_PERIOD = Duration.ofMillis(50);

    private final StateDuty mDuty = new StateDuty("keyvalue");
    private final Watches mWatches = new Watches();
    private final KeyValueStore mStore = new KeyValueStore(mWatches::publish);
    private final KeyValueFaults mFaults = new KeyValueFaults();
    private final CallCounts mCounts = new CallCounts();
    private final ResourceServer mServer;

    /**
     * Creates the server; {@link #start()} binds it.
     *
     * @param ip the IP number to listen on
     * @param port the port to listen on, or 0 for any
     * @param options the budgets
     */
    public KeyValueStandin(String ip, int port, KeyValueOptions options) {
        mServer = new ResourceServer("keyvalue-http", ip, port, routes(options));
    }

    private Routes routes(KeyValueOptions options) {
        CallGate gate = new CallGate(mDuty, mFaults, mCounts, options);
        LeaseResource leases = new LeaseResource(mStore);
        FaultResource faults = new FaultResource(mFaults, mStore, mWatches);
        CountsResource counts = new CountsResource(mCounts);
        Routes routes = new Routes();
        read(routes, gate, "/v3/kv/range", new RangeResource(mStore));
        read(routes, gate, "/v3/watch", new WatchResource(mStore, mWatches));
        write(routes, gate, "/v3/kv/put", new PutResource(mStore));
        write(routes, gate, "/v3/kv/txn", new TransactionResource(mStore));
        write(routes, gate, "/v3/kv/deleterange", new DeleteResource(mStore));
        write(routes, gate, "/v3/lease/grant", leases::grant);
        write(routes, gate, "/v3/lease/keepalive", leases::keepAlive);
        write(routes, gate, "/v3/lease/revoke", leases::revoke);
        routes.add("POST", "/faults", e -> mDuty.handle(e, () -> faults.handle(e)));
        routes.add("GET", "/counts", e -> mDuty.handle(e, () -> counts.handle(e)));
        return routes;
    }

    private static void read(Routes routes, CallGate gate, String path, Resource resource) {
        routes.add("POST", path, gate.guard(CallKind.READ, resource));
    }

    private static void write(Routes routes, CallGate gate, String path, Resource resource) {
        routes.add("POST", path, gate.guard(CallKind.WRITE, resource));
    }

    /** Binds the port and begins to answer. */
    public void start() {
        mServer.start();
        mDuty.every(LEASE_CHECK_PERIOD, () -> mStore.lapseLeases(System.nanoTime()));
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
