package org.oleanderspring.daemon.process.command;

import java.io.BufferedOutputStream;
import java.io.FileDescriptor;
import java.io.FileOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.time.Instant;
import java.time.ZoneOffset;
import java.time.format.DateTimeFormatter;
import java.util.concurrent.atomic.AtomicLong;
import java.util.logging.ErrorManager;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.LogManager;
import java.util.logging.LogRecord;
import java.util.logging.Logger;
import java.util.logging.SimpleFormatter;
import org.oleanderspring.duty.command.DutyThread;
import org.oleanderspring.duty.command.OfferResult;

/**
 * Writes log lines on a thread of its own, so that no duty ever blocks on the output. Lines beyond
 * the capacity of the ring or beyond a maximum per second are dropped and counted; the count is
 * written before the next line.
 */
public final class RingLogHandler extends Handler {
    /** The capacity of the ring, in lines. */
    private static final int CAPACITY = 4_096;

    /**
     * The maximum number of lines written for one second. It is well above the typical load, at
     * which a daemon makes some hundred decisions per second.
     */
    private static final int LINES_PER_SECOND = 2_000;

    private static final DateTimeFormatter TIME =
            DateTimeFormatter.ofPattern("yyyy-MM-dd'T'HH:mm:ss.SSS").withZone(ZoneOffset.UTC);
    private static final long MILLIS_PER_SECOND = 1_000;

    private final DutyThread<LogRecord> mRing = new DutyThread<>("log", CAPACITY);
    private final AtomicLong mDropped = new AtomicLong();
    private final SimpleFormatter mFormatter = new SimpleFormatter();
    private final OutputStream mOutput;
    private long mCurrentSecond;
    private int mLinesInSecond;

    /**
     * Creates a handler and starts its thread.
     *
     * @param output receives the lines in UTF-8; written by the handler's thread only
     */
    public RingLogHandler(OutputStream output) {
        mOutput = new BufferedOutputStream(output);
        mRing.start(this::write);
    }

    /** Replaces all log handlers of this process by one that writes to the standard output. */
    public static RingLogHandler install() {
        LogManager.getLogManager().reset();
        RingLogHandler handler = new RingLogHandler(new FileOutputStream(FileDescriptor.out));
        Logger root = Logger.getLogger("");
        root.addHandler(handler);
        root.setLevel(Level.INFO);
        Logger.getLogger("org.eclipse.jetty").setLevel(Level.WARNING);
        return handler;
    }

    @Override
    public void publish(LogRecord record) {
        if (isLoggable(record) && mRing.offer(record) != OfferResult.ACCEPTED) {
            mDropped.incrementAndGet();
        }
    }

    /** Returns the number of dropped lines that are not yet reported in the log. */
    long dropped() {
        return mDropped.get();
    }

    /** Writes one line on the handler's thread; an exception is written without its stack trace. */
    private void write(LogRecord record) {
        long second = record.getMillis() / MILLIS_PER_SECOND;
        if (second != mCurrentSecond) {
            mCurrentSecond = second;
            mLinesInSecond = 0;
        }
        mLinesInSecond++;
        if (mLinesInSecond > LINES_PER_SECOND) {
            mDropped.incrementAndGet();
            return;
        }
        StringBuilder line = new StringBuilder();
        long droppedLines = mDropped.getAndSet(0);
        if (droppedLines > 0) {
            append(
                    line,
                    record.getInstant(),
                    Level.WARNING,
                    "[log] lines-dropped count=" + droppedLines);
        }
        append(line, record.getInstant(), record.getLevel(), mFormatter.formatMessage(record));
        if (record.getThrown() != null) {
            line.append(record.getThrown()).append('\n');
        }
        print(line.toString());
    }

    private static void append(StringBuilder line, Instant time, Level level, String message) {
        line.append(TIME.format(time)).append(' ').append(level.getName());
        line.append(' ').append(message).append('\n');
    }

    private void print(String text) {
        try {
            mOutput.write(text.getBytes(StandardCharsets.UTF_8));
            // The ring still counts the line that is being written.
            if (mRing.used() <= 1) {
                mOutput.flush();
            }
        } catch (IOException failure) {
            reportError("could not write a log line", failure, ErrorManager.WRITE_FAILURE);
        }
    }

    /** Does nothing, since the handler's thread flushes when no further line waits. */
    @Override
    public void flush() {}

    /** Writes the waiting lines and ends the thread. */
    @Override
    public void close() {
        mRing.close();
        try {
            mOutput.flush();
        } catch (IOException failure) {
            reportError("could not flush the last log lines", failure, ErrorManager.FLUSH_FAILURE);
        }
    }
}
