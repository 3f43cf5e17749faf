package org.oleanderspring.daemon.front.command;

import java.util.List;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.HttpConfiguration;
import org.eclipse.jetty.server.HttpConnectionFactory;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.server.ServerConnector;
import org.eclipse.jetty.util.thread.QueuedThreadPool;
import org.oleanderspring.coordination.membership.Address;

/** One HTTP port with its handlers. */
public final class HttpListener implements AutoCloseable {
    private static final int HIGHEST_THREADS = 12;
    private static final int LOWEST_THREADS = 4;
    private static final int HEADER_LIMIT_BYTES = 16 * 1024;
    private static final long IDLE_LIMIT_MILLIS = 600_000;

    private final Server mServer;

    /**
     * Creates the listener; call {@link #start()} to open the port.
     *
     * @param name names the threads
     * @param address where to listen
     * @param handlers asked in order until one takes a request
     */
    public HttpListener(String name, Address address, List<Handler> handlers) {
        QueuedThreadPool threads = new QueuedThreadPool(HIGHEST_THREADS, LOWEST_THREADS);
        threads.setName(name);
        mServer = new Server(threads);
        HttpConfiguration configuration = new HttpConfiguration();
        configuration.setSendServerVersion(false);
        configuration.setRequestHeaderSize(HEADER_LIMIT_BYTES);
        ServerConnector connector =
                new ServerConnector(mServer, 1, 1, new HttpConnectionFactory(configuration));
        connector.setHost(address.ip());
        connector.setPort(address.port());
        connector.setIdleTimeout(IDLE_LIMIT_MILLIS);
        mServer.addConnector(connector);
        mServer.setHandler(new Handler.Sequence(handlers));
    }

    /**
     * Opens the port.
     *
     * @throws Exception if the port cannot be opened
     */
    public void start() throws Exception {
        mServer.start();
    }

    @Override
    public void close() throws Exception {
        mServer.stop();
    }
}
