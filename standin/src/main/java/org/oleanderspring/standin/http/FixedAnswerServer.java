package org.oleanderspring.standin.http;

import static java.nio.charset.StandardCharsets.ISO_8859_1;

import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.Locale;

/**
 * A server in trouble on plain sockets, which answers requests with given bytes, whether or not
 * they are an answer in the protocol, and then closes or resets the connection.
 */
public final class FixedAnswerServer implements AutoCloseable {
    /** What happens to the connection after the answer. */
    public enum End {
        /** Closed, after the whole request was read. */
        CLOSED,
        /** Reset; the body of the request is not read, so that its upload may be in progress. */
        RESET
    }

    private static final int BACKLOG = 256;
    private static final String END_OF_HEAD = "\r\n\r\n";
    private static final String LENGTH_FIELD = "\r\ncontent-length: ";

    private final ServerSocket mServer;
    private final List<String> mAnswers;
    private final End mEnd;

    /**
     * Starts a server on a free port that answers all requests alike.
     *
     * @param ip the IP address to listen on
     * @param answer the bytes of the answer, each a character
     * @param end what happens to the connection afterwards
     */
    public FixedAnswerServer(String ip, String answer, End end) {
        this(ip, List.of(answer), end);
    }

    /**
     * Starts a server on a free port.
     *
     * @param ip the IP address to listen on
     * @param answers the bytes of the answers, each a character; the last one is repeated
     * @param end what happens to a connection after its answer
     */
    public FixedAnswerServer(String ip, List<String> answers, End end) {
        mAnswers = List.copyOf(answers);
        mEnd = end;
        try {
            mServer = new ServerSocket(0, BACKLOG, InetAddress.getByName(ip));
        } catch (IOException failure) {
            throw new UncheckedIOException(failure);
        }
        Thread thread = new Thread(this::serveConnections, "fixed-answer-server");
        thread.setDaemon(true);
        thread.start();
    }

    /** Returns the port that the server listens on. */
    public int port() {
        return mServer.getLocalPort();
    }

    private void serveConnections() {
        int answered = 0;
        while (!mServer.isClosed()) {
            try (Socket socket = mServer.accept()) {
                serve(socket, mAnswers.get(Math.min(answered, mAnswers.size() - 1)));
                answered++;
            } catch (IOException ended) {
                // The client closed the connection, or the server is closed.
            }
        }
    }

    private void serve(Socket socket, String answer) throws IOException {
        InputStream input = socket.getInputStream();
        String head = readHead(input);
        if (mEnd == End.CLOSED) {
            input.skipNBytes(contentLength(head));
        }
        socket.getOutputStream().write(answer.getBytes(ISO_8859_1));
        if (mEnd == End.RESET) {
            socket.setSoLinger(true, 0);
        }
    }

    private static String readHead(InputStream input) throws IOException {
        StringBuilder head = new StringBuilder();
        while (head.indexOf(END_OF_HEAD) < 0) {
            int next = input.read();
            if (next < 0) {
                throw new IOException("the connection ended before a request");
            }
            head.append((char) next);
        }
        return head.toString().toLowerCase(Locale.ROOT);
    }

    private static long contentLength(String head) {
        int field = head.indexOf(LENGTH_FIELD);
        if (field < 0) {
            return 0;
        }
        int begin = field + LENGTH_FIELD.length();
        return Long.parseLong(head.substring(begin, head.indexOf("\r\n", begin)));
    }

    @Override
    public void close() {
        try {
            mServer.close();
        } catch (IOException failure) {
            throw new UncheckedIOException(failure);
        }
    }
}
