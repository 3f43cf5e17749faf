import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.util.List;

/** A sound runner that answers with a stream of events. */
class Streams extends Runner {
    volatile long firstMillis = 100;
    volatile long gapMillis = 60;
    volatile int events = 49;

    Streams(World world, String id, String service, String zone, String ip, List<String> models)
            throws IOException {
        super(world, id, service, zone, ip, models);
    }

    @Override
    void answer(Wire.Message request, Socket socket, OutputStream out) throws IOException {
        String expected = request.field("Expect-Instance");
        if (expected != null && !expected.equals(id)) {
            json(out, 421, Json.map());
            return;
        }
        World.ran(id, request);
        World.sleep(firstMillis);
        String attempt = request.field("Attempt-Id");
        out.write(
                Wire.bytes(
                        "HTTP/1.1 200 OK\r\nAttempt-Id: "
                                + attempt
                                + "\r\nServer-Seal: seal-"
                                + id
                                + "-"
                                + attempt
                                + "\r\nContent-Type: text/event-stream"
                                + "\r\nTransfer-Encoding: chunked\r\n\r\n"));
        String last = request.field("Last-Event-Id");
        int from = last == null ? 1 : Integer.parseInt(last.trim()) + 1;
        for (int event = from; event <= events; event++) {
            chunk(out, event(attempt, event));
            World.sleep(gapMillis);
        }
        out.write(Wire.bytes("0\r\n\r\n"));
        out.flush();
        World.note("whole stream sent at " + id + " id=" + attempt);
    }

    /** Returns one event of the answer to an attempt. */
    String event(String attempt, int number) {
        return "id: " + number + "\ndata: " + attempt + " piece " + number + "\n\n";
    }

    static void chunk(OutputStream out, String text) throws IOException {
        byte[] bytes = Wire.bytes(text);
        out.write(Wire.bytes(Integer.toHexString(bytes.length) + "\r\n"));
        out.write(bytes);
        out.write(Wire.bytes("\r\n"));
        out.flush();
    }
}
