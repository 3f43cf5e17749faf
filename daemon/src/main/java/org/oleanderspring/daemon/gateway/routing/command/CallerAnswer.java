package org.oleanderspring.daemon.gateway.routing.command;

import java.util.List;
import org.jspecify.annotations.Nullable;
import org.oleanderspring.core.port.Header;
import org.oleanderspring.daemon.front.Refusal;
import org.oleanderspring.daemon.front.ResponseStream;

/**
 * The answer to one caller, over all attempts that contribute to it.
 *
 * <p>The attempts write one after the other: an attempt begins to write only after routing has
 * handled the end of the one before. A write of that one may still be under way then, so writes are
 * chained. The fields are guarded by this object.
 */
final class CallerAnswer {
    private final ResponseStream mStream;
    private boolean mBegun;
    private boolean mWriting;
    private boolean mFinishing;
    private boolean mEnded;
    private @Nullable Runnable mNextWrite;
    private @Nullable String mLastEventId;

    CallerAnswer(ResponseStream stream) {
        mStream = stream;
    }

    /** Begins the answer, unless an attempt before has done so. */
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

    /** Returns the last event that was passed on, or null if none has an identity. */
    synchronized @Nullable String lastEventId() {
        return mLastEventId;
    }

    /**
     * Passes bytes on.
     *
     * @param bytes the bytes
     * @param lastEventId the last event in them, or null
     * @param written called when more may be written
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
                mNextWrite = () -> send(bytes, written);
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
                    sent();
                });
    }

    private void sent() {
        Runnable next;
        boolean finish;
        synchronized (this) {
            next = mNextWrite;
            mNextWrite = null;
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

    /** Ends the answer as a complete one, after the writes that are under way. */
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

    /** Refuses the call, or cuts the answer off if it has begun. */
    void refuse(Refusal refusal) {
        if (end()) {
            mStream.refuse(refusal);
        }
    }

    /** Ends the answer of a caller that has left. */
    void abandon() {
        if (end()) {
            mStream.abandon();
        }
    }

    private synchronized boolean end() {
        boolean first = !mEnded;
        mEnded = true;
        return first;
    }
}
