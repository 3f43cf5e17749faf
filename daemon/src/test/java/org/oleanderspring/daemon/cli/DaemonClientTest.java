package org.oleanderspring.daemon.cli;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;

import java.net.URI;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.oleanderspring.standin.http.FixedAnswerServer;
import org.oleanderspring.standin.http.FixedAnswerServer.End;

/** Guards against a subcommand that reports success although the daemon's answer is broken. */
class DaemonClientTest {
    private static final String IP = "127.0.0.1";
    private static final String OK = "HTTP/1.1 200 OK\r\n";
    private static final String DOCUMENT = "{\"number\":7}";
    private static final String LENGTH = "Content-Length: " + DOCUMENT.length() + "\r\n\r\n";

    /** More than the buffers of a connection hold. */
    private static final int LONG_BODY_BYTES = 7_000_000;

    private static DaemonClient.Result post(String answer, End end, int bodyBytes)
            throws Exception {
        try (FixedAnswerServer server = new FixedAnswerServer(IP, answer, end);
                DaemonClient client =
                        new DaemonClient(URI.create("http://" + IP + ":" + server.port()))) {
            return client.post("/v1/settings", "x".repeat(bodyBytes));
        }
    }

    @Test
    void wholeAnswerIsAResponse() throws Exception {
        for (String framing : List.of(LENGTH, "\r\n")) {
            DaemonClient.Result result = post(OK + framing + DOCUMENT, End.CLOSED, 1);
            assertThat(result, instanceOf(DaemonClient.Result.Response.class));
            assertThat(((DaemonClient.Result.Response) result).isSuccess(), is(true));
        }
    }

    @Test
    void brokenAnswerIsNoResponse() throws Exception {
        for (int bodyBytes : List.of(1, LONG_BODY_BYTES)) {
            for (int length = 0; length <= DOCUMENT.length(); length++) {
                String begun = OK + "\r\n" + DOCUMENT.substring(0, length);
                assertThat(
                        begun,
                        post(begun, End.RESET, bodyBytes),
                        instanceOf(DaemonClient.Result.Unreachable.class));
            }
        }
        List<String> odd =
                List.of(
                        OK + LENGTH + DOCUMENT.substring(1),
                        "HTTP/1.1 000 Unknown\r\n" + LENGTH + DOCUMENT,
                        OK + "X Name: v\r\n" + LENGTH + DOCUMENT,
                        OK + "X-\u0001Name: v\r\n" + LENGTH + DOCUMENT,
                        OK + "\nX-Name: v\r\n" + LENGTH + DOCUMENT);
        for (String answer : odd) {
            assertThat(
                    answer,
                    post(answer, End.CLOSED, 1),
                    instanceOf(DaemonClient.Result.Unreachable.class));
        }
    }
}
