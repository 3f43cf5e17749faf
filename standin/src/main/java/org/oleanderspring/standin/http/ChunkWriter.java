package org.oleanderspring.standin.http;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import org.eclipse.jetty.io.EofException;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;

/**
 * Writes a chunked response asynchronously: chunks are buffered without a bound while a write is in
 * progress, so that no call blocks. Thread-safe.
 */
public final class ChunkWriter {
    private final Response mResponse;
    private final Callback mCallback;
    private final Runnable mCloseConnection;
    private final StringBuilder mPending = new StringBuilder();
    private boolean mWriting;
    private boolean mEnded;
    private boolean mClosed;

    ChunkWriter(Response response, Callback callback, Runnable closeConnection) {
        mResponse = response;
        mCallback = callback;
        mCloseConnection = closeConnection;
    }

    /**
     * Sends the response headers before the first chunk; does nothing while a write is in progress.
     */
    public synchronized void sendHeaders() {
        if (mClosed || mEnded || mWriting) {
            return;
        }
        write("");
    }

    /**
     * Queues a chunk; ignored after {@link #end()} and after the connection was closed.
     *
     * @param chunk the text, sent in UTF-8
     */
    public synchronized void send(String chunk) {
        if (mClosed || mEnded) {
            return;
        }
        mPending.append(chunk);
        writeNext();
    }

    /** Completes the response after the queued chunks. */
    public synchronized void end() {
        mEnded = true;
        writeNext();
    }

    /** Closes the connection, so that the client sees a truncated response. */
    public synchronized void abort() {
        if (mClosed) {
            return;
        }
        mClosed = true;
        mCloseConnection.run();
        mCallback.failed(new EofException("response aborted on request of a stand-in"));
    }

    /** Returns whether the response is complete, was aborted, or failed to be written. */
    public synchronized boolean isClosed() {
        return mClosed;
    }

    private void writeNext() {
        if (mWriting || mClosed) {
            return;
        }
        if (mPending.length() > 0) {
            String chunk = mPending.toString();
            mPending.setLength(0);
            write(chunk);
            return;
        }
        if (mEnded) {
            mClosed = true;
            mResponse.write(true, ByteBuffer.allocate(0), mCallback);
        }
    }

    private void write(String chunk) {
        mWriting = true;
        byte[] bytes = chunk.getBytes(StandardCharsets.UTF_8);
        mResponse.write(
                false, ByteBuffer.wrap(bytes), Callback.from(this::onWritten, this::onFailed));
    }

    private synchronized void onWritten() {
        mWriting = false;
        writeNext();
    }

    private synchronized void onFailed(Throwable cause) {
        mWriting = false;
        if (mClosed) {
            return;
        }
        mClosed = true;
        mCallback.failed(cause);
    }
}
