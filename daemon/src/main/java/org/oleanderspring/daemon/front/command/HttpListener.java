package org.oleanderspring.daemon.front.command;

import java.util.List;
import org.eclipse.jetty.http.UriCompliance;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.HttpConfiguration;
import org.eclipse.jetty.server.HttpConnectionFactory;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.server.ServerConnector;
import org.eclipse.jetty.util.thread.QueuedThreadPool;
import org.oleanderspring.coordination.membership.Address;

/** An HTTP server on one port, with its handlers. */
public final class HttpListener implements AutoCloseable {
    private static final int ACCEPT_QUEUE = 512;

    private final Server mServer;

    /**
     * Creates the listener; call {@link #start()} to open the port.
     *
     * @param name the name prefix of its threads
     * @param address the address to listen on
     * @param handlers the handlers, tried in order until one handles the request
     */
    public HttpListener(String name, Address address, List<Handler> handlers) {
        this(name, address, handlers, ListenerOptions.DEFAULT);
    }

    /**
     * Creates the listener; call {@link #start()} to open the port.
     *
     * @param name the name prefix of its threads
     * @param address the address to listen on
     * @param handlers the handlers, tried in order until one handles the request
     * @param options the limits of the listener
     */
    public HttpListener(
            String name, Address address, List<Handler> handlers, ListenerOptions options) {
        QueuedThreadPool threads = new QueuedThreadPool(options.maxThreads(), options.minThreads());
        threads.setName(name);
        mServer = new Server(threads);
        HttpConfiguration configuration = new HttpConfiguration();
        configuration.setSendServerVersion(false);
        configuration.setSendDateHeader(false);
        configuration.setRequestHeaderSize(options.maxHeaderBytes());
        if (options.acceptsAnyPath()) {
            configuration.setUriCompliance(UriCompliance.UNSAFE);
        }
        ServerConnector connector =
                new ServerConnector(mServer, 1, 1, new HttpConnectionFactory(configuration));
        connector.setHost(address.ip());
        connector.setPort(address.port());
        connector.setIdleTimeout(options.idleTimeout().toMillis());
        connector.setAcceptQueueSize(ACCEPT_QUEUE);
        mServer.addConnector(connector);
        // With dynamic handlers, Jetty wakes a second thread for each request, even if all handlers
        // are non-blocking.
        mServer.setDynamic(false);
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
