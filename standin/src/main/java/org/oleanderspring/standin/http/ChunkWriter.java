package org.oleanderspring.standin.http;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import org.eclipse.jetty.io.EofException;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;

/** Writes the parts of a long answer one after the other, without blocking the sender. */
public final class ChunkWriter {
    private final Response mResponse;
    private final Callback mCallback;
    private final Runnable mAbort;
    private final StringBuilder mPending = new StringBuilder();
    private boolean mWriting;
    private boolean mEnded;
    private boolean mClosed;

    ChunkWriter(Response response, Callback callback, Runnable abort) {
        mResponse = response;
        mCallback = callback;
        mAbort = abort;
    }

    /** Sends the headers before there is a part. */
    public synchronized void begin() {
        if (mClosed || mEnded || mWriting) {
            return;
        }
        write("");
    }

    /**
     * Queues a part.
     *
     * @param part the text
     */
    public synchronized void send(String part) {
        if (mClosed || mEnded) {
            return;
        }
        mPending.append(part);
        writeNext();
    }

    /** Ends the answer after the queued parts. */
    public synchronized void end() {
        mEnded = true;
        writeNext();
    }

    /** Breaks the connection, so that the reader sees an incomplete answer. */
    public synchronized void abort() {
        if (mClosed) {
            return;
        }
        mClosed = true;
        mAbort.run();
        mCallback.failed(new EofException("aborted by the stand-in"));
    }

    /** Returns whether the reader went away or the answer is complete. */
    public synchronized boolean isClosed() {
        return mClosed;
    }

    private void writeNext() {
        if (mWriting || mClosed) {
            return;
        }
        if (mPending.length() > 0) {
            String part = mPending.toString();
            mPending.setLength(0);
            write(part);
            return;
        }
        if (mEnded) {
            mClosed = true;
            mResponse.write(true, ByteBuffer.allocate(0), mCallback);
        }
    }

    private void write(String part) {
        mWriting = true;
        byte[] bytes = part.getBytes(StandardCharsets.UTF_8);
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
