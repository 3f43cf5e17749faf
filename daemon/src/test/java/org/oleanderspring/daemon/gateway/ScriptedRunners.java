package org.oleanderspring.daemon.gateway;

import static java.nio.charset.StandardCharsets.ISO_8859_1;
import static java.nio.charset.StandardCharsets.UTF_8;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import org.jspecify.annotations.Nullable;
import org.oleanderspring.coordination.membership.Address;

/**
 * Two runners on plain sockets that send given bytes, so that an answer can break off at any byte.
 * The first attempt of a request gets the first answer, at whichever runner, and so on.
 */
final class ScriptedRunners implements AutoCloseable {
    /** What happens to the connection after an answer. */
    enum End {
        KEPT,
        CLOSED,
        RESET,
        /** The runner ends its side of the connection and reads on. */
        HALF_CLOSED
    }

    /** How much of the body of a request a runner has read when it answers. */
    enum Upload {
        FINISHED,
        IN_PROGRESS
    }

    /**
     * One answer.
     *
     * @param text its bytes, each a character; {@code {id}} stands for the attempt of the request
     * @param end what happens to the connection afterwards
     * @param upload when it is sent
     */
    record Answer(String text, End end, Upload upload) {
        /** Creates an answer that is sent after the whole request was read. */
        Answer(String text, End end) {
            this(text, end, Upload.FINISHED);
        }
    }

    private static final String ENTRY =
            """
            {"service":"%s","address":"127.0.0.1:%d","zone":"east","version":1,"slots":4,
             "state":"ready","coldRemainingMs":0,"seq":0,"born":1700000000000,
             "models":[{"name":"m1","version":1,"adapters":[]}],
             "available":{"inMemory":[],"onDisk":[]}}
            """;
    private static final String NOT_FOUND = "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n";
    private static final String ATTEMPT_FIELD = "\r\nattempt-id: ";
    private static final String LENGTH_FIELD = "\r\ncontent-length: ";

    private final List<ServerSocket> mServers = new ArrayList<>();
    private final Map<String, Integer> mAttempts = new ConcurrentHashMap<>();
    private final Set<Socket> mOpenConnections = ConcurrentHashMap.newKeySet();
    private final AtomicInteger mAnswersSent = new AtomicInteger();
    private final AtomicInteger mAnswersOnKeptConnections = new AtomicInteger();
    private volatile List<Answer> mAnswers = List.of();
    private volatile @Nullable Answer mEarlyAnswer;

    ScriptedRunners() throws IOException {
        for (int number = 0; number < 2; number++) {
            ServerSocket server = new ServerSocket(0, 64, InetAddress.getByName(GatewayFixture.IP));
            mServers.add(server);
            start(() -> accept(server));
        }
    }

    private static void start(Runnable task) {
        Thread thread = new Thread(task, "scripted-runner");
        thread.setDaemon(true);
        thread.start();
    }

    /** Registers both as runners of a service that hold the model "m1". */
    void register(GatewayFixture fixture, String service) {
        mServers.forEach(server -> register(fixture, service, server));
    }

    /** Registers one, so that the connection of each request is known. */
    void registerOne(GatewayFixture fixture, String service) {
        register(fixture, service, mServers.get(0));
    }

    private static void register(GatewayFixture fixture, String service, ServerSocket server) {
        int port = server.getLocalPort();
        fixture.store().put("servers/i-" + port, ENTRY.formatted(service, port));
    }

    /** Sets the answers to the attempts of one request; the last one is repeated. */
    void answer(Answer... answers) {
        mAnswers = List.of(answers);
    }

    private void accept(ServerSocket server) {
        try {
            while (true) {
                Socket socket = server.accept();
                start(() -> serve(socket));
            }
        } catch (IOException closed) {
            // The test closed the server socket.
        }
    }

    /**
     * Sends an answer on each connection that is open, and on each one that is opened later, before
     * a request arrives there.
     *
     * @param answer the answer, or null for none on later connections
     */
    void answerBeforeRequests(@Nullable Answer answer) throws InterruptedException {
        mEarlyAnswer = answer;
        if (answer == null) {
            return;
        }
        for (Socket connection : mOpenConnections) {
            try {
                send(connection, answer);
            } catch (IOException ended) {
                // The daemon closed the connection.
            }
        }
    }

    /** Returns the number of attempts that were answered, so that a test sees what was played. */
    int answersSent() {
        return mAnswersSent.get();
    }

    /** Returns the number of answers on connections that had carried another answer before. */
    int answersOnKeptConnections() {
        return mAnswersOnKeptConnections.get();
    }

    private void serve(Socket connection) {
        mOpenConnections.add(connection);
        try (Socket socket = connection) {
            Answer early = mEarlyAnswer;
            if (early != null) {
                send(socket, early);
            }
            InputStream input = socket.getInputStream();
            String head = readHead(input);
            boolean isKept = false;
            while (!head.isEmpty()) {
                Answer answer = answerTo(head);
                int unread = contentLength(head);
                if (answer.upload() == Upload.FINISHED) {
                    unread -= input.readNBytes(unread).length;
                }
                if (isKept) {
                    mAnswersOnKeptConnections.incrementAndGet();
                }
                send(socket, answer);
                if (answer.end() == End.CLOSED || answer.end() == End.RESET) {
                    return;
                }
                input.skipNBytes(unread);
                head = readHead(input);
                isKept = true;
            }
        } catch (IOException | InterruptedException ended) {
            // The daemon closed the connection.
        } finally {
            mOpenConnections.remove(connection);
        }
    }

    private static void send(Socket socket, Answer answer)
            throws IOException, InterruptedException {
        socket.getOutputStream().write(answer.text().getBytes(ISO_8859_1));
        socket.getOutputStream().flush();
        if (answer.end() == End.HALF_CLOSED) {
            socket.shutdownOutput();
        }
        if (answer.end() == End.RESET) {
            // A close with linger time 0 discards unsent data, so the answer is sent first.
            Thread.sleep(50);
            socket.setSoLinger(true, 0);
        }
        if (answer.end() == End.CLOSED || answer.end() == End.RESET) {
            socket.close();
        }
    }

    private Answer answerTo(String head) {
        int field = head.toLowerCase(Locale.ROOT).indexOf(ATTEMPT_FIELD);
        if (field < 0) {
            return new Answer(NOT_FOUND, End.KEPT);
        }
        int begin = field + ATTEMPT_FIELD.length();
        String id = head.substring(begin, head.indexOf("\r\n", begin));
        int attempt = mAttempts.merge(id, 1, Integer::sum) - 1;
        mAnswersSent.incrementAndGet();
        Answer answer = mAnswers.get(Math.min(attempt, mAnswers.size() - 1));
        return new Answer(answer.text().replace("{id}", id), answer.end(), answer.upload());
    }

    /** Returns the head of a request, or nothing at the end of the connection. */
    private static String readHead(InputStream input) throws IOException {
        StringBuilder head = new StringBuilder();
        while (head.indexOf("\r\n\r\n") < 0) {
            int next = input.read();
            if (next < 0) {
                return "";
            }
            head.append((char) next);
        }
        return head.toString();
    }

    private static int contentLength(String head) {
        int field = head.toLowerCase(Locale.ROOT).indexOf(LENGTH_FIELD);
        if (field < 0) {
            return 0;
        }
        int begin = field + LENGTH_FIELD.length();
        return Integer.parseInt(head.substring(begin, head.indexOf("\r\n", begin)));
    }

    /**
     * Sends one request on a connection of its own and returns all bytes until the daemon closes
     * it.
     */
    static String exchange(Address daemon, String path, String id) throws IOException {
        try (Socket socket = new Socket(daemon.ip(), daemon.port())) {
            socket.setSoTimeout(15_000);
            String request =
                    "POST "
                            + path
                            + " HTTP/1.1\r\nHost: "
                            + GatewayFixture.HOST
                            + "\r\nAttempt-Id: "
                            + id
                            + "\r\nDeadline-Ms: 8000\r\nModel: m1\r\nConnection: close\r\n"
                            + "Content-Length: 1\r\n\r\nx";
            socket.getOutputStream().write(request.getBytes(UTF_8));
            socket.getOutputStream().flush();
            StringBuilder received = new StringBuilder();
            try {
                byte[] part = new byte[4_096];
                int read = socket.getInputStream().read(part);
                while (read >= 0) {
                    received.append(new String(part, 0, read, UTF_8));
                    read = socket.getInputStream().read(part);
                }
            } catch (SocketException reset) {
                received.append("(reset)");
            }
            return received.toString();
        }
    }

    @Override
    public void close() throws IOException {
        for (ServerSocket server : mServers) {
            server.close();
        }
    }
}
