package org.oleanderspring.standin.load.command;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.time.Duration;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.oleanderspring.standin.http.FixedAnswerServer;
import org.oleanderspring.standin.http.FixedAnswerServer.End;
import org.oleanderspring.standin.load.CallResult;

/** Guards against a load generator that counts a broken answer as served. */
class CallerClientTest {
    private static final String IP = "127.0.0.1";
    private static final String OK = "HTTP/1.1 200 OK\r\n";
    private static final String MARKER = "marker-1";

    private static CallResult.Ending ending(String answer, End end) throws Exception {
        try (FixedAnswerServer server = new FixedAnswerServer(IP, answer, end);
                CallerClient client = new CallerClient(Duration.ofSeconds(5))) {
            return client.sendCompletion(IP + ":" + server.port(), "m1", MARKER)
                    .get(20, TimeUnit.SECONDS)
                    .ending();
        }
    }

    @Test
    void brokenAnswerIsLost() throws Exception {
        String length = "Content-Length: " + MARKER.length() + "\r\n\r\n";
        assertThat(ending(OK + length + MARKER, End.CLOSED), is(CallResult.Ending.SERVED));
        for (int round = 0; round < 20; round++) {
            assertThat(ending(OK + "\r\n" + MARKER, End.RESET), is(CallResult.Ending.LOST));
        }
        assertThat(
                ending(OK + length + MARKER.substring(1), End.CLOSED), is(CallResult.Ending.LOST));
        assertThat(
                ending("HTTP/1.1 000 No\r\n" + length + MARKER, End.CLOSED),
                is(CallResult.Ending.LOST));
    }
}
