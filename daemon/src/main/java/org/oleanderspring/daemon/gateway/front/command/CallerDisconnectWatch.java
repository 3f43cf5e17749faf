package org.oleanderspring.daemon.gateway.front.command;

import java.io.IOException;
import java.nio.ByteBuffer;
import org.eclipse.jetty.io.AbstractEndPoint;
import org.eclipse.jetty.io.Connection;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.util.BufferUtil;
import org.eclipse.jetty.util.Callback;
import org.oleanderspring.daemon.gateway.routing.query.CallerPresence;

/**
 * Detects that a caller closes its connection while its request is handled.
 *
 * <p>Once Jetty has read a request, it does not read from the connection again until the response
 * is complete. In the meantime, this class registers its own read interest with the end point. If
 * bytes arrive, they belong to the next request on the connection; they are put into the
 * connection's input buffer, where Jetty finds them when it resumes reading. The read interest is
 * withdrawn before the response completes, and the lock ensures that no read by this class is still
 * in progress at that time.
 */
final class CallerDisconnectWatch implements Callback, CallerPresence {
    private static final int READ_BYTES = 4 * 1024;

    private final Connection mConnection;
    private final Runnable mOnDisconnect;
    private boolean mWatching;
    private boolean mStopped;
    private volatile boolean mDisconnected;

    CallerDisconnectWatch(Request request, Runnable onDisconnect) {
        mConnection = request.getConnectionMetaData().getConnection();
        mOnDisconnect = onDisconnect;
    }

    /** Starts to watch the connection, unless the response is already complete. */
    synchronized void start() {
        if (!mStopped) {
            mWatching = mConnection.getEndPoint().tryFillInterested(this);
        }
    }

    /** Returns a callback that stops watching and then completes the given one. */
    Callback stopBefore(Callback callback) {
        return Callback.from(
                () -> {
                    stop();
                    callback.succeeded();
                },
                failure -> {
                    stop();
                    callback.failed(failure);
                });
    }

    private synchronized void stop() {
        mStopped = true;
        if (mWatching && mConnection.getEndPoint() instanceof AbstractEndPoint endPoint) {
            mWatching = false;
            endPoint.getFillInterest().onFail(new IOException("watch ended: response complete"));
        }
    }

    @Override
    public void succeeded() {
        if (readDisconnection()) {
            reportDisconnection();
        }
    }

    private synchronized boolean readDisconnection() {
        mWatching = false;
        if (mStopped) {
            return false;
        }
        EndPoint endPoint = mConnection.getEndPoint();
        ByteBuffer buffer = BufferUtil.allocate(READ_BYTES);
        try {
            int read = endPoint.fill(buffer);
            if (read < 0) {
                return true;
            }
            if (read == 0) {
                mWatching = endPoint.tryFillInterested(this);
            } else if (mConnection instanceof Connection.UpgradeTo next) {
                next.onUpgradeTo(buffer);
            }
            return false;
        } catch (IOException failure) {
            return true;
        }
    }

    @Override
    public void failed(Throwable failure) {
        boolean disconnected;
        synchronized (this) {
            mWatching = false;
            disconnected = !mStopped;
        }
        if (disconnected) {
            reportDisconnection();
        }
    }

    private void reportDisconnection() {
        mDisconnected = true;
        mOnDisconnect.run();
    }

    @Override
    public boolean hasDisconnected() {
        return mDisconnected;
    }
}
