package org.oleanderspring.daemon.front;

import static java.nio.charset.StandardCharsets.ISO_8859_1;

import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.net.SocketException;
import java.util.Locale;
import org.oleanderspring.coordination.membership.Address;

/**
 * An answer of a daemon as an HTTP client sees it: whether it is complete depends on its framing.
 * An answer with neither a length nor chunks is complete when its connection is closed, and not
 * when it is reset.
 *
 * @param head the status line and the fields, or what was received of them
 * @param body the body, without the framing of chunks
 * @param isComplete whether a client takes the answer for complete
 */
public record ReceivedAnswer(String head, String body, boolean isComplete) {
    private static final String HOST = "a.example";
    private static final String END_OF_HEAD = "\r\n\r\n";
    private static final String LENGTH_FIELD = "\r\ncontent-length: ";
    private static final String CHUNKED_FIELD = "\r\ntransfer-encoding: chunked\r\n";
    private static final int TIMEOUT_MILLIS = 15_000;

    /** What a caller says about its connection. */
    public enum Caller {
        KEEPS_CONNECTION("HTTP/1.1", ""),
        CLOSES_CONNECTION("HTTP/1.1", "Connection: close\r\n"),
        /** A caller that knows no chunks. */
        OF_VERSION_1_0("HTTP/1.0", "");

        private final String mVersion;
        private final String mField;

        Caller(String version, String field) {
            mVersion = version;
            mField = field;
        }
    }

    /**
     * Sends a POST request on a connection of its own and reads the answer.
     *
     * @param daemon the address of the daemon
     * @param caller what the request says about the connection
     * @param path the path
     * @param id the attempt
     * @param bodyBytes the length of the body
     */
    public static ReceivedAnswer to(
            Address daemon, Caller caller, String path, String id, int bodyBytes)
            throws IOException {
        try (Socket socket = new Socket(daemon.ip(), daemon.port())) {
            socket.setSoTimeout(TIMEOUT_MILLIS);
            String head =
                    "POST "
                            + path
                            + " "
                            + caller.mVersion
                            + "\r\nHost: "
                            + HOST
                            + "\r\nAttempt-Id: "
                            + id
                            + "\r\nDeadline-Ms: 8000\r\nModel: m1\r\n"
                            + caller.mField
                            + "Content-Length: "
                            + bodyBytes
                            + END_OF_HEAD;
            socket.getOutputStream().write(head.getBytes(ISO_8859_1));
            socket.getOutputStream().write(new byte[bodyBytes]);
            return read(socket.getInputStream());
        }
    }

    private static ReceivedAnswer read(InputStream input) throws IOException {
        StringBuilder head = new StringBuilder();
        StringBuilder body = new StringBuilder();
        boolean isComplete;
        try {
            isComplete = readThrough(END_OF_HEAD, input, head) && readBody(input, head, body);
        } catch (SocketException reset) {
            isComplete = false;
        }
        return new ReceivedAnswer(head.toString(), body.toString(), isComplete);
    }

    /** Appends the next bytes; returns false if the connection is closed before the end. */
    private static boolean readThrough(String end, InputStream input, StringBuilder text)
            throws IOException {
        while (text.indexOf(end) < 0) {
            int next = input.read();
            if (next < 0) {
                return false;
            }
            text.append((char) next);
        }
        return true;
    }

    private static boolean readBody(InputStream input, CharSequence head, StringBuilder body)
            throws IOException {
        String fields = head.toString().toLowerCase(Locale.ROOT);
        if (fields.contains(CHUNKED_FIELD)) {
            return readChunks(input, body);
        }
        int field = fields.indexOf(LENGTH_FIELD);
        if (field < 0) {
            return readUntilClosed(input, body);
        }
        int begin = field + LENGTH_FIELD.length();
        int length = Integer.parseInt(fields.substring(begin, fields.indexOf("\r\n", begin)));
        return readBytes(length, input, body);
    }

    private static boolean readUntilClosed(InputStream input, StringBuilder body)
            throws IOException {
        int next = input.read();
        while (next >= 0) {
            body.append((char) next);
            next = input.read();
        }
        return true;
    }

    private static boolean readBytes(int count, InputStream input, StringBuilder body)
            throws IOException {
        byte[] bytes = input.readNBytes(count);
        body.append(new String(bytes, ISO_8859_1));
        return bytes.length == count;
    }

    private static boolean readChunks(InputStream input, StringBuilder body) throws IOException {
        while (true) {
            StringBuilder size = new StringBuilder();
            if (!readThrough("\r\n", input, size)) {
                return false;
            }
            int length = Integer.parseInt(size.toString().trim(), 16);
            if (!readBytes(length, input, body) || input.readNBytes(2).length < 2) {
                return false;
            }
            if (length == 0) {
                return true;
            }
        }
    }
}
