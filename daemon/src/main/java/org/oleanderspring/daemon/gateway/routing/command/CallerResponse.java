package org.oleanderspring.daemon.gateway.routing.command;

import java.util.List;
import org.jspecify.annotations.Nullable;
import org.oleanderspring.core.port.Header;
import org.oleanderspring.daemon.front.Refusal;
import org.oleanderspring.daemon.front.ResponseStream;

/**
 * The response to one caller, to which several attempts may contribute in turn.
 *
 * <p>An attempt starts to write only after routing has handled the end of the previous attempt. The
 * last write of the previous attempt may still be in progress at that time, so at most one further
 * write is queued behind it. The fields are guarded by this object's monitor.
 */
final class CallerResponse {
    private final ResponseStream mStream;
    private boolean mBegun;
    private boolean mWriting;
    private boolean mFinishing;
    private boolean mEnded;
    private @Nullable Runnable mQueuedWrite;
    private @Nullable String mLastEventId;

    CallerResponse(ResponseStream stream) {
        mStream = stream;
    }

    /** Sets status and headers of the response, unless an earlier attempt has done so. */
    synchronized void begin(int status, List<Header> headers) {
        if (mBegun || mEnded) {
            return;
        }
        mBegun = true;
        mStream.begin(status, headers);
    }

    synchronized boolean hasBegun() {
        return mBegun;
    }

    /** Returns the id of the last forwarded event that has one, or null. */
    synchronized @Nullable String lastEventId() {
        return mLastEventId;
    }

    /**
     * Forwards a part of the response body. Once the response has ended, the part is discarded and
     * {@code written} does not run.
     *
     * @param bytes the part
     * @param lastEventId the id of the last event in the part, or null
     * @param written runs when the next part may be written
     */
    void write(byte[] bytes, @Nullable String lastEventId, Runnable written) {
        synchronized (this) {
            if (mEnded) {
                return;
            }
            if (lastEventId != null) {
                mLastEventId = lastEventId;
            }
            if (mWriting) {
                mQueuedWrite = () -> send(bytes, written);
                return;
            }
            mWriting = true;
        }
        send(bytes, written);
    }

    private void send(byte[] bytes, Runnable written) {
        mStream.write(
                bytes,
                () -> {
                    written.run();
                    writeCompleted();
                });
    }

    private void writeCompleted() {
        Runnable next;
        boolean finish;
        synchronized (this) {
            next = mQueuedWrite;
            mQueuedWrite = null;
            mWriting = next != null;
            finish = mFinishing && !mWriting && !mEnded;
            mEnded |= finish;
        }
        if (next != null) {
            next.run();
        } else if (finish) {
            mStream.finish();
        }
    }

    /** Completes the response after the writes that are in progress. */
    void finish() {
        synchronized (this) {
            if (mEnded) {
                return;
            }
            mFinishing = true;
            if (mWriting) {
                return;
            }
            mEnded = true;
        }
        mStream.finish();
    }

    /** Refuses the call, or aborts the response if a part of it has been sent. */
    void refuse(Refusal refusal) {
        if (markEnded()) {
            mStream.refuse(refusal);
        }
    }

    /** Aborts the response to a caller that has disconnected. */
    void abandon() {
        if (markEnded()) {
            mStream.abandon();
        }
    }

    /** Returns whether the response had not ended before. */
    private synchronized boolean markEnded() {
        boolean first = !mEnded;
        mEnded = true;
        return first;
    }
}
