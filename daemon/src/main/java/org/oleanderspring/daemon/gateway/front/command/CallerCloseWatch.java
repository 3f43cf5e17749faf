package org.oleanderspring.daemon.gateway.front.command;

import java.io.IOException;
import java.nio.ByteBuffer;
import org.eclipse.jetty.io.AbstractEndPoint;
import org.eclipse.jetty.io.Connection;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.util.BufferUtil;
import org.eclipse.jetty.util.Callback;

/**
 * Notices that a caller closes its connection while its request is handled.
 *
 * <p>Jetty reads no more from a connection whose request has been read until the answer is
 * complete. So this watch waits for the connection to become readable meanwhile. Bytes that arrive
 * are the next request; they are handed to the connection, which finds them when it goes on
 * reading. The interest in reading is withdrawn before the answer completes, and the lock makes
 * sure that no read of this watch goes on then.
 */
final class CallerCloseWatch implements Callback {
    private static final int READ_BYTES = 4 * 1024;

    private final Connection mConnection;
    private final Runnable mCallerLeft;
    private boolean mWatching;
    private boolean mStopped;

    CallerCloseWatch(Request request, Runnable callerLeft) {
        mConnection = request.getConnectionMetaData().getConnection();
        mCallerLeft = callerLeft;
    }

    /** Starts to watch, unless the answer is complete already. */
    synchronized void start() {
        if (!mStopped) {
            mWatching = mConnection.getEndPoint().tryFillInterested(this);
        }
    }

    /** Returns a callback that ends the watch before it completes another one. */
    Callback guard(Callback callback) {
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
            endPoint.getFillInterest().onFail(new IOException("the watch has ended"));
        }
    }

    @Override
    public void succeeded() {
        if (hasCallerLeft()) {
            mCallerLeft.run();
        }
    }

    private synchronized boolean hasCallerLeft() {
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
        } catch (IOException broken) {
            return true;
        }
    }

    @Override
    public void failed(Throwable failure) {
        boolean broken;
        synchronized (this) {
            mWatching = false;
            broken = !mStopped;
        }
        if (broken) {
            mCallerLeft.run();
        }
    }
}
