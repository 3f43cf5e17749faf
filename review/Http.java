package review;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** HTTP/1.1 over plain sockets, with one thread for each connection. */
final class Http {
    private Http() {}

    /** A request or response; header names are in lower case. */
    record Message(String startLine, Map<String, String> headers, byte[] body) {
        String header(String name) {
            return headers.get(name.toLowerCase(Locale.ROOT));
        }

        int status() {
            return Integer.parseInt(startLine.split(" ")[1]);
        }

        String method() {
            return startLine.split(" ")[0];
        }

        String target() {
            return startLine.split(" ")[1];
        }

        String text() {
            return new String(body, StandardCharsets.UTF_8);
        }
    }

    /** Answers requests; an exception closes the connection. */
    interface Handler {
        void handle(Exchange exchange) throws Exception;
    }

    /** A request with the means to answer it. */
    static final class Exchange {
        final Message request;
        final Socket socket;
        private final OutputStream mOutput;

        Exchange(Message request, Socket socket) throws IOException {
            this.request = request;
            this.socket = socket;
            mOutput = socket.getOutputStream();
        }

        void reply(int status, Map<String, String> headers, byte[] body) throws IOException {
            StringBuilder head = head(status, headers);
            head.append("Content-Length: ").append(body.length).append("\r\n\r\n");
            ByteArrayOutputStream whole = new ByteArrayOutputStream();
            whole.write(head.toString().getBytes(StandardCharsets.ISO_8859_1));
            whole.write(body);
            raw(whole.toByteArray());
        }

        void json(int status, Object document) throws IOException {
            reply(
                    status,
                    Map.of("Content-Type", "application/json"),
                    Json.write(document).getBytes(StandardCharsets.UTF_8));
        }

        void beginChunks(int status, Map<String, String> headers) throws IOException {
            StringBuilder head = head(status, headers);
            head.append("Transfer-Encoding: chunked\r\n\r\n");
            raw(head.toString().getBytes(StandardCharsets.ISO_8859_1));
        }

        void chunk(String text) throws IOException {
            byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
            raw((Integer.toHexString(bytes.length) + "\r\n" + text + "\r\n").getBytes(StandardCharsets.UTF_8));
        }

        void endChunks() throws IOException {
            raw("0\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1));
        }

        void raw(byte[] bytes) throws IOException {
            mOutput.write(bytes);
            mOutput.flush();
        }

        private static StringBuilder head(int status, Map<String, String> headers) {
            StringBuilder head = new StringBuilder("HTTP/1.1 " + status + " Status\r\n");
            headers.forEach((name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
            return head;
        }
    }

    /** A server on one address. */
    static final class Server implements AutoCloseable {
        private final ServerSocket mListener = new ServerSocket();
        private final Set<Socket> mSockets = ConcurrentHashMap.newKeySet();
        private final Handler mHandler;

        Server(String ip, Handler handler) throws IOException {
            mHandler = handler;
            mListener.bind(new InetSocketAddress(InetAddress.getByName(ip), 0), 512);
            thread("accept", this::accept);
        }

        int port() {
            return mListener.getLocalPort();
        }

        private void accept() throws IOException {
            while (true) {
                Socket socket = mListener.accept();
                mSockets.add(socket);
                thread("serve", () -> serve(socket));
            }
        }

        private void serve(Socket socket) throws Exception {
            try (socket) {
                socket.setTcpNoDelay(true);
                InputStream input = new BufferedInputStream(socket.getInputStream());
                Message request = read(input, true);
                while (request != null) {
                    mHandler.handle(new Exchange(request, socket));
                    request = read(input, true);
                }
            } finally {
                mSockets.remove(socket);
            }
        }

        /** Resets all connections. */
        void resetConnections() {
            for (Socket socket : mSockets) {
                try {
                    socket.setSoLinger(true, 0);
                    socket.close();
                } catch (IOException ignored) {
                    // The connection has ended already.
                }
            }
        }

        @Override
        public void close() throws IOException {
            mListener.close();
            resetConnections();
        }
    }

    /** Sends one request on a new connection; fails after the time limit without bytes. */
    static Message call(String address, String head, byte[] body, int limitMillis) throws IOException {
        try (Socket socket = connect(address, limitMillis)) {
            send(socket, head, body);
            return read(new BufferedInputStream(socket.getInputStream()), false);
        }
    }

    static Socket connect(String address, int limitMillis) throws IOException {
        String[] parts = address.split(":");
        Socket socket = new Socket();
        socket.connect(new InetSocketAddress(parts[0], Integer.parseInt(parts[1])), 1_000);
        socket.setSoTimeout(limitMillis);
        socket.setTcpNoDelay(true);
        return socket;
    }

    /** Sends a head without its last empty line, and a body with a length. */
    static void send(Socket socket, String head, byte[] body) throws IOException {
        String length = body.length == 0 ? "" : "Content-Length: " + body.length + "\r\n";
        OutputStream output = socket.getOutputStream();
        output.write((head + length + "\r\n").getBytes(StandardCharsets.ISO_8859_1));
        output.write(body);
        output.flush();
    }

    /** Reads a message; null at the end of the stream before its first byte. */
    static Message read(InputStream input, boolean isRequest) throws IOException {
        Message head = head(input);
        return head == null
                ? null
                : new Message(head.startLine(), head.headers(), body(input, head.headers(), isRequest));
    }

    private static Message head(InputStream input) throws IOException {
        String startLine = line(input);
        if (startLine == null) {
            return null;
        }
        Map<String, String> headers = new LinkedHashMap<>();
        String line = line(input);
        while (line != null && !line.isEmpty()) {
            int colon = line.indexOf(':');
            headers.put(line.substring(0, colon).toLowerCase(Locale.ROOT), line.substring(colon + 1).trim());
            line = line(input);
        }
        if (line == null) {
            throw new IOException("the head is not complete");
        }
        return new Message(startLine, headers, new byte[0]);
    }

    private static byte[] body(InputStream input, Map<String, String> headers, boolean isRequest)
            throws IOException {
        if ("chunked".equalsIgnoreCase(headers.get("transfer-encoding"))) {
            ByteArrayOutputStream body = new ByteArrayOutputStream();
            while (true) {
                String size = line(input);
                if (size == null) {
                    throw new IOException("the body is not complete");
                }
                int length = Integer.parseInt(size.split(";")[0].trim(), 16);
                body.write(exactly(input, length));
                line(input);
                if (length == 0) {
                    return body.toByteArray();
                }
            }
        }
        if (headers.containsKey("content-length")) {
            return exactly(input, Integer.parseInt(headers.get("content-length")));
        }
        return isRequest ? new byte[0] : input.readAllBytes();
    }

    private static byte[] exactly(InputStream input, int length) throws IOException {
        byte[] bytes = input.readNBytes(length);
        if (bytes.length < length) {
            throw new IOException("the body is not complete");
        }
        return bytes;
    }

    private static String line(InputStream input) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        int next = input.read();
        if (next < 0) {
            return null;
        }
        while (next >= 0 && next != '\n') {
            if (next != '\r') {
                line.write(next);
            }
            next = input.read();
        }
        return line.toString(StandardCharsets.ISO_8859_1);
    }

    /** Code of a thread. */
    interface Task {
        void run() throws Exception;
    }

    static Thread thread(String name, Task task) {
        Thread thread =
                new Thread(
                        () -> {
                            try {
                                task.run();
                            } catch (Exception ended) {
                                // The connection or the server has ended.
                            }
                        },
                        name);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }
}
