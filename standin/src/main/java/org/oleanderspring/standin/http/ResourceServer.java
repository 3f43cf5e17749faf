package org.oleanderspring.standin.http;

import java.io.UncheckedIOException;
import java.nio.ByteBuffer;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.HttpConfiguration;
import org.eclipse.jetty.server.HttpConnectionFactory;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.server.ServerConnector;
import org.eclipse.jetty.util.BufferUtil;
import org.eclipse.jetty.util.Callback;
import org.eclipse.jetty.util.thread.QueuedThreadPool;

/**
 * An HTTP server on one IP address and port.
 *
 * <p>Request bodies are read whole. An {@link IllegalArgumentException} or {@link
 * UncheckedIOException} of a resource gives a response with status 400 and the message of the
 * exception, an unknown path one with 404.
 */
public final class ResourceServer implements AutoCloseable {
    private static final int MAX_THREADS = 16;
    private static final int MIN_THREADS = 4;
    private static final int THREAD_IDLE_TIMEOUT_MILLIS = 60_000;

    private final Server mServer;
    private final ServerConnector mConnector;

    /**
     * Creates a server; {@link #start()} binds it.
     *
     * @param name the name of the server threads
     * @param ip the IP address to listen on
     * @param port the port to listen on, or 0 for any free port
     * @param routes the resources by method and path
     */
    public ResourceServer(String name, String ip, int port, Routes routes) {
        QueuedThreadPool threads =
                new QueuedThreadPool(MAX_THREADS, MIN_THREADS, THREAD_IDLE_TIMEOUT_MILLIS);
        threads.setName(name);
        threads.setDaemon(true);
        mServer = new Server(threads);
        HttpConfiguration configuration = new HttpConfiguration();
        configuration.setSendServerVersion(false);
        mConnector = new ServerConnector(mServer, 1, 1, new HttpConnectionFactory(configuration));
        mConnector.setHost(ip);
        mConnector.setPort(port);
        mServer.addConnector(mConnector);
        mServer.setHandler(new RouteHandler(routes));
    }

    /** Binds the port and starts to accept requests. */
    public void start() {
        try {
            mServer.start();
        } catch (Exception fault) {
            throw new IllegalStateException("cannot start the HTTP server of the stand-in", fault);
        }
    }

    /** Returns the port that the server listens on; valid after {@link #start()}. */
    public int port() {
        return mConnector.getLocalPort();
    }

    /** Refuses new connections; open ones go on. */
    public void closePort() {
        mConnector.close();
    }

    @Override
    public void close() {
        try {
            mServer.stop();
        } catch (Exception fault) {
            throw new IllegalStateException("cannot stop the HTTP server of the stand-in", fault);
        }
    }

    private static final class RouteHandler extends Handler.Abstract {
        private final Routes mRoutes;

        RouteHandler(Routes routes) {
            mRoutes = routes;
        }

        @Override
        public boolean handle(Request request, Response response, Callback callback)
                throws Exception {
            ByteBuffer buffer = Content.Source.asByteBuffer(request);
            Exchange exchange =
                    new Exchange(request, response, callback, BufferUtil.toArray(buffer));
            Resource resource = mRoutes.find(exchange.method(), exchange.path());
            if (resource == null) {
                exchange.replyError(404, "no_such_path", exchange.path());
                return true;
            }
            try {
                resource.handle(exchange);
            } catch (UncheckedIOException | IllegalArgumentException invalid) {
                exchange.replyError(400, "invalid_request", String.valueOf(invalid.getMessage()));
            }
            return true;
        }
    }
}
