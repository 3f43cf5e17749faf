package org.oleanderspring.standin.hosted;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Locale;
import java.util.concurrent.atomic.AtomicLong;

/**
 * A faulty runner of the hosted platform, which answers each request, also for its state, with
 * bytes without end until the client closes the connection. All connections share the rate of a
 * link.
 */
public final class FaultyRunnerStandin implements AutoCloseable {
    private static final long NANOS_PER_SECOND = 1_000_000_000L;
    private static final int BACKLOG = 256;
    private static final String END_OF_HEAD = "\r\n\r\n";
    private static final String ATTEMPT_FIELD = "\nattempt-id:";
    private static final String LENGTH_FIELD = "\ncontent-length:";

    private final ServerSocket mServer;
    private final EndlessAnswer mAnswer;
    private final long mNanosPerPart;
    private final AtomicLong mNextPartAt = new AtomicLong(System.nanoTime());
    private final AtomicLong mAnswers = new AtomicLong();

    /**
     * Starts a runner on a free port.
     *
     * @param ip the IP address to listen on
     * @param answer what it sends
     * @param bytesPerSecond the rate of its link
     */
    public FaultyRunnerStandin(String ip, EndlessAnswer answer, long bytesPerSecond) {
        mAnswer = answer;
        mNanosPerPart = answer.part().length * NANOS_PER_SECOND / bytesPerSecond;
        try {
            mServer = new ServerSocket(0, BACKLOG, InetAddress.getByName(ip));
        } catch (IOException failure) {
            throw new UncheckedIOException(failure);
        }
        startThread(this::acceptConnections);
    }

    private static void startThread(Runnable task) {
        Thread thread = new Thread(task, "faulty-runner");
        thread.setDaemon(true);
        thread.start();
    }

    /** Returns the port that the runner listens on. */
    public int port() {
        return mServer.getLocalPort();
    }

    /** Returns the number of answers that were begun. */
    public long answers() {
        return mAnswers.get();
    }

    private void acceptConnections() {
        try {
            while (true) {
                Socket socket = mServer.accept();
                startThread(() -> serve(socket));
            }
        } catch (IOException closed) {
            // The server socket was closed.
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            String head = readHead(socket.getInputStream());
            if (head.isEmpty()) {
                return;
            }
            socket.getInputStream().skipNBytes(Long.parseLong(field(head, LENGTH_FIELD, "0")));
            mAnswers.incrementAndGet();
            OutputStream output = socket.getOutputStream();
            output.write(mAnswer.beginning(field(head, ATTEMPT_FIELD, "none")));
            while (true) {
                waitForLink();
                output.write(mAnswer.part());
            }
        } catch (IOException | InterruptedException ended) {
            // The client closed the connection.
        }
    }

    private void waitForLink() throws InterruptedException {
        long now = System.nanoTime();
        long turn = mNextPartAt.getAndUpdate(next -> Math.max(next, now) + mNanosPerPart);
        long millis = (turn - now) / 1_000_000;
        if (millis > 0) {
            Thread.sleep(millis);
        }
    }

    private static String readHead(InputStream input) throws IOException {
        StringBuilder head = new StringBuilder();
        while (head.indexOf(END_OF_HEAD) < 0) {
            int next = input.read();
            if (next < 0) {
                return "";
            }
            head.append((char) next);
        }
        return head.toString();
    }

    private static String field(String head, String name, String absent) {
        int start = head.toLowerCase(Locale.ROOT).indexOf(name);
        if (start < 0) {
            return absent;
        }
        int end = head.indexOf('\r', start);
        return head.substring(start + name.length(), end).trim();
    }

    @Override
    public void close() throws IOException {
        mServer.close();
    }
}
