package org.oleanderspring.daemon.gateway.routing.command;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import org.jspecify.annotations.Nullable;
import org.oleanderspring.duty.command.ByteBudget;

/**
 * Splits a stream of server-sent events at event boundaries; an event ends with an empty line.
 *
 * <p>A runner may fail in the middle of an event. Only complete events are forwarded, so that
 * another runner can resume the stream after the last of them.
 */
final class EventStreamSplitter {
    private static final String ID_FIELD = "id:";

    /** Far longer than any event of a generation; a runner may send an event without end. */
    private static final int MAX_EVENT_BYTES = 256 << 10;

    /** Incomplete events up to this size are not counted against the budget of all calls. */
    private static final int UNCOUNTED_BYTES = 16 << 10;

    private final ByteBudget mBudget;
    private final ByteArrayOutputStream mPending = new ByteArrayOutputStream();
    private int mLineLength;
    private boolean mAfterCarriageReturn;
    private boolean mEventEndedByCarriageReturn;
    private int mCompleteEvents;
    private long mCounted;
    private boolean mClosed;
    private volatile boolean mOverBudget;

    /**
     * Creates a splitter at the beginning of a stream.
     *
     * @param budget bounds the incomplete events of all calls
     */
    EventStreamSplitter(ByteBudget budget) {
        mBudget = budget;
    }

    /**
     * Adds bytes to the buffer and returns the complete events in it, or an empty array.
     *
     * @param bytes the next bytes of the stream
     */
    byte[] append(byte[] bytes) {
        int end = endOfLastCompleteEvent(bytes);
        if (end == 0) {
            mPending.write(bytes, 0, bytes.length);
            count();
            return new byte[0];
        }
        mPending.write(bytes, 0, end);
        byte[] events = mPending.toByteArray();
        mPending.reset();
        mPending.write(bytes, end, bytes.length - end);
        count();
        return events;
    }

    /**
     * An attempt may end on a thread of the client while the routing duty forwards the first part
     * of its response.
     */
    private synchronized void count() {
        if (mClosed) {
            return;
        }
        long counted = mPending.size() > UNCOUNTED_BYTES ? mPending.size() : 0;
        if (counted < mCounted) {
            mBudget.release(mCounted - counted);
        } else if (!mBudget.tryHold(counted - mCounted)) {
            mOverBudget = true;
            return;
        }
        mCounted = counted;
    }

    /** Releases the bytes of the incomplete event at the end of the stream. */
    synchronized void close() {
        mBudget.release(mCounted);
        mCounted = 0;
        mClosed = true;
    }

    /** Returns the number of complete events so far. */
    int completeEvents() {
        return mCompleteEvents;
    }

    /** Returns whether the buffer holds a part of an event. */
    boolean isInsideEvent() {
        return mPending.size() > 0;
    }

    /**
     * Returns whether the incomplete event in the buffer is longer than any valid one, or longer
     * than the budget of all calls allows.
     */
    boolean isEventTooLong() {
        return mOverBudget || mPending.size() > MAX_EVENT_BYTES;
    }

    private int endOfLastCompleteEvent(byte[] bytes) {
        int end = 0;
        for (int index = 0; index < bytes.length; index++) {
            if (endsEvent(bytes[index])) {
                end = index + 1;
            }
        }
        return end;
    }

    /**
     * Returns whether the next byte ends an event. A line ends with CR, LF or CRLF; of a CRLF that
     * ends an event, both bytes belong to the event.
     */
    private boolean endsEvent(byte next) {
        boolean lineFeedOfCrLf = next == '\n' && mAfterCarriageReturn;
        mAfterCarriageReturn = next == '\r';
        if (lineFeedOfCrLf) {
            return mEventEndedByCarriageReturn;
        }
        if (next != '\n' && next != '\r') {
            mLineLength++;
            return false;
        }
        boolean empty = mLineLength == 0;
        mLineLength = 0;
        mEventEndedByCarriageReturn = empty && mAfterCarriageReturn;
        mCompleteEvents += empty ? 1 : 0;
        return empty;
    }

    /**
     * Returns the id of the last event that has one, or null.
     *
     * @param events complete events
     */
    static @Nullable String lastId(byte[] events) {
        String text = new String(events, StandardCharsets.UTF_8);
        int field = text.startsWith(ID_FIELD) ? 0 : -1;
        int later = Math.max(text.lastIndexOf("\n" + ID_FIELD), text.lastIndexOf("\r" + ID_FIELD));
        field = later < 0 ? field : later + 1;
        if (field < 0) {
            return null;
        }
        int start = field + ID_FIELD.length();
        int end = start;
        while (end < text.length() && text.charAt(end) != '\n' && text.charAt(end) != '\r') {
            end++;
        }
        return text.substring(start, end).trim();
    }
}
