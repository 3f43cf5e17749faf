package org.oleanderspring.daemon.gateway;

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
import java.util.concurrent.ConcurrentHashMap;
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
        RESET
    }

    /**
     * One answer.
     *
     * @param text its bytes; {@code {id}} stands for the attempt of the request
     * @param end what happens to the connection afterwards
     */
    record Answer(String text, End end) {}

    private static final String ENTRY =
            """
            {"service":"%s","address":"127.0.0.1:%d","zone":"east","version":1,"slots":4,
             "state":"ready","coldRemainingMs":0,"seq":0,"born":1700000000000,
             "models":[{"name":"m1","version":1,"adapters":[]}],
             "available":{"inMemory":[],"onDisk":[]}}
            """;
    private static final String NOT_FOUND = "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n";
    private static final String ATTEMPT_FIELD = "\r\nattempt-id: ";

    private final List<ServerSocket> mServers = new ArrayList<>();
    private final Map<String, Integer> mAttempts = new ConcurrentHashMap<>();
    private volatile List<Answer> mAnswers = List.of();

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
        for (ServerSocket server : mServers) {
            int port = server.getLocalPort();
            fixture.store().put("servers/i-" + port, ENTRY.formatted(service, port));
        }
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

    private void serve(Socket connection) {
        try (Socket socket = connection) {
            String head = readHead(socket.getInputStream());
            while (!head.isEmpty()) {
                Answer answer = answerTo(head);
                socket.getOutputStream().write(answer.text().getBytes(UTF_8));
                socket.getOutputStream().flush();
                if (answer.end() == End.RESET) {
                    // A close with linger time 0 discards unsent data, so the answer is sent first.
                    Thread.sleep(50);
                    socket.setSoLinger(true, 0);
                }
                if (answer.end() != End.KEPT) {
                    return;
                }
                head = readHead(socket.getInputStream());
            }
        } catch (IOException | InterruptedException ended) {
            // The daemon closed the connection.
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
        Answer answer = mAnswers.get(Math.min(attempt, mAnswers.size() - 1));
        return new Answer(answer.text().replace("{id}", id), answer.end());
    }

    /** Reads a head and the body whose length it gives. Returns the head, or nothing at the end. */
    private static String readHead(InputStream input) throws IOException {
        StringBuilder head = new StringBuilder();
        while (head.indexOf("\r\n\r\n") < 0) {
            int next = input.read();
            if (next < 0) {
                return "";
            }
            head.append((char) next);
        }
        String text = head.toString();
        int field = text.toLowerCase(Locale.ROOT).indexOf("\r\ncontent-length: ");
        if (field >= 0) {
            int begin = field + "\r\ncontent-length: ".length();
            input.readNBytes(Integer.parseInt(text.substring(begin, text.indexOf("\r\n", begin))));
        }
        return text;
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
