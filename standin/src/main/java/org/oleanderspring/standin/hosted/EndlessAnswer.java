package org.oleanderspring.standin.hosted;

import static java.nio.charset.StandardCharsets.UTF_8;

/** The points of an answer at which a faulty runner sends bytes without end. */
public enum EndlessAnswer {
    /** The first line does not end. */
    START_LINE("", "x"),
    /** A header field does not end. */
    HEADER("HTTP/1.1 200 OK\r\nX-Long: ", "x"),
    /** There is always another header field. */
    HEADERS("HTTP/1.1 200 OK\r\n", "X-Many: a\r\n"),
    /** Empty lines precede the first line. */
    EMPTY_LINES("", "\r\n"),
    /** Interim responses precede the final one. */
    INTERIM_RESPONSES("", "HTTP/1.1 103 Early Hints\r\n\r\n"),
    /** The server asks again and again for a body. */
    CONTINUES("", "HTTP/1.1 100 Continue\r\n\r\n"),
    /** The size of a chunk does not end. */
    CHUNK_SIZE(Head.CHUNKED, "0"),
    /** The extension of a chunk does not end. */
    CHUNK_EXTENSION(Head.CHUNKED + "1;", "x"),
    /** The body has no end and consists of the smallest chunks. */
    SMALL_CHUNKS(Head.CHUNKED, "1\r\nx\r\n"),
    /** There is always another trailer field. */
    TRAILERS(Head.CHUNKED + "0\r\n", "X-Many: a\r\n"),
    /** An event of a stream does not end. */
    EVENT(Head.STREAM + "data: ", "x"),
    /** There is always another small event. */
    EVENTS(Head.STREAM, "data: x\n\n"),
    /** The body ends with its connection, which is not closed. */
    BODY_WITHOUT_LENGTH(Head.SUCCESS + "\r\n", "x"),
    /** The body has a length that takes years to send. */
    BODY_WITH_LENGTH(Head.SUCCESS + "Content-Length: 9000000000000000\r\n\r\n", "x"),
    /** Bytes follow a complete answer. */
    AFTER_THE_END(Head.SUCCESS + "Content-Length: 2\r\n\r\nok", "x"),
    /** Complete answers follow a complete answer. */
    ANSWERS(
            Head.SUCCESS + "Content-Length: 0\r\n\r\n",
            "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"),
    /** The answer is a rejection, which is not passed on. */
    REJECTION("HTTP/1.1 503 Unavailable\r\nAttempt-Id: {id}\r\nNot-Executed: 1\r\n\r\n", "x"),
    /** The answer belongs to another request and is not passed on. */
    FOREIGN_ANSWER("HTTP/1.1 200 OK\r\nAttempt-Id: other\r\nServer-Seal: s\r\n\r\n", "x");

    /** The beginnings that several answers share. */
    private static final class Head {
        static final String SUCCESS = "HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nServer-Seal: s\r\n";
        static final String CHUNKED = SUCCESS + "Transfer-Encoding: chunked\r\n\r\n";
        static final String STREAM = SUCCESS + "Content-Type: text/event-stream\r\n\r\n";
    }

    private static final int PART_BYTES = 64 << 10;

    private final String mBeginning;
    private final byte[] mPart;

    EndlessAnswer(String beginning, String repeated) {
        mBeginning = beginning;
        mPart = repeated.repeat(PART_BYTES / repeated.length()).getBytes(UTF_8);
    }

    /**
     * Returns the bytes before the part without end.
     *
     * @param attempt the name of the attempt that is answered
     */
    byte[] beginning(String attempt) {
        return mBeginning.replace("{id}", attempt).getBytes(UTF_8);
    }

    /** Returns the bytes that are sent again and again. */
    byte[] part() {
        return mPart;
    }
}
