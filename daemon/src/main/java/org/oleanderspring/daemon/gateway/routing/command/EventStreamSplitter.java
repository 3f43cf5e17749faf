package org.oleanderspring.daemon.gateway.routing.command;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import org.jspecify.annotations.Nullable;

/**
 * Cuts a stream of server-sent events into whole events, which end with an empty line.
 *
 * <p>A runner may stop in the middle of an event. Only whole events are passed on, so that another
 * runner can go on after the last one.
 */
final class EventStreamSplitter {
    private static final String ID_FIELD = "id:";

    private final ByteArrayOutputStream mPending = new ByteArrayOutputStream();
    private int mLineLength;
    private boolean mAfterReturn;
    private boolean mEndedByReturn;

    /**
     * Takes bytes and returns those that complete events, with what was kept before them.
     *
     * @param bytes the bytes
     */
    byte[] take(byte[] bytes) {
        int end = endOfLastEvent(bytes);
        if (end == 0) {
            mPending.write(bytes, 0, bytes.length);
            return new byte[0];
        }
        mPending.write(bytes, 0, end);
        byte[] events = mPending.toByteArray();
        mPending.reset();
        mPending.write(bytes, end, bytes.length - end);
        return events;
    }

    /** Returns whether bytes of an event that is not complete are kept. */
    boolean isInsideEvent() {
        return mPending.size() > 0;
    }

    private int endOfLastEvent(byte[] bytes) {
        int end = 0;
        for (int index = 0; index < bytes.length; index++) {
            if (endsEvent(bytes[index])) {
                end = index + 1;
            }
        }
        return end;
    }

    /** Takes one byte; a line ends with a return, a line feed, or both in this order. */
    private boolean endsEvent(byte next) {
        boolean secondOfPair = next == '\n' && mAfterReturn;
        mAfterReturn = next == '\r';
        if (secondOfPair) {
            return mEndedByReturn;
        }
        if (next != '\n' && next != '\r') {
            mLineLength++;
            return false;
        }
        boolean empty = mLineLength == 0;
        mLineLength = 0;
        mEndedByReturn = empty && mAfterReturn;
        return empty;
    }

    /**
     * Returns the identity of the last event that has one.
     *
     * @param events whole events
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
