package org.oleanderspring.standin.engine.command;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.oleanderspring.standin.http.FixedAnswerServer;
import org.oleanderspring.standin.http.FixedAnswerServer.End;

/** Guards against an engine that waits for ever for a permit, or takes a broken one. */
class WeightStoreClientTest {
    private static final String IP = "127.0.0.1";
    private static final String OK = "HTTP/1.1 200 OK\r\n";
    private static final String PERMIT = "{\"permit\":7,\"slowdownPerMille\":1000}";

    private static DownloadPermit permit(String answer, End end) throws Exception {
        try (FixedAnswerServer server = new FixedAnswerServer(IP, answer, end);
                WeightStoreClient client = new WeightStoreClient(IP + ":" + server.port())) {
            CompletableFuture<DownloadPermit> permit = new CompletableFuture<>();
            client.requestPermit("m1", false, permit::complete);
            return permit.get(20, TimeUnit.SECONDS);
        }
    }

    @Test
    void brokenPermitIsRefused() throws Exception {
        String length = "Content-Length: " + PERMIT.length() + "\r\n\r\n";
        assertThat(permit(OK + length + PERMIT, End.CLOSED), is(new DownloadPermit(7, 1000)));
        String half = PERMIT.substring(0, PERMIT.length() / 2);
        List<String> broken =
                List.of(OK + "\r\n" + half, OK + "\r\n" + PERMIT, OK + "\r\n", OK + length + half);
        for (String answer : broken) {
            assertThat(answer, permit(answer, End.RESET), is(DownloadPermit.REFUSED));
        }
        String noDocument = OK + "Content-Length: " + half.length() + "\r\n\r\n" + half;
        assertThat(permit(noDocument, End.CLOSED), is(DownloadPermit.REFUSED));
        String empty = OK + "Content-Length: 0\r\n\r\n";
        assertThat(permit(empty, End.CLOSED), is(DownloadPermit.REFUSED));
    }
}
