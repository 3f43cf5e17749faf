package org.oleanderspring.daemon.gateway;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.matchesPattern;
import static org.hamcrest.Matchers.not;
import static org.hamcrest.Matchers.startsWith;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.oleanderspring.daemon.gateway.ScriptedRunners.Answer;
import org.oleanderspring.daemon.gateway.ScriptedRunners.End;

/**
 * Runners in trouble that answer with a status that is not the status of a response. Guards against
 * such an answer reaching a caller.
 */
class OddStatusTest {
    private static final String BODY = "body-of-the-odd-answer";
    private static final String PLAIN_PATH = "/order/1";
    private static final String STREAM_PATH = "/stream/1";
    private static final String EVENT = "id: 1\ndata: one\n\n";

    /** Status lines without a status from 200 to 599. */
    private static final List<String> STATUS_LINES =
            List.of(
                    "HTTP/1.1 000 Unknown",
                    "HTTP/1.1 000",
                    "HTTP/1.1 0 Unknown",
                    "HTTP/1.1 099 Unknown",
                    "HTTP/1.1 100 Continue",
                    "HTTP/1.1 101 Switching Protocols",
                    "HTTP/1.1 102 Processing",
                    "HTTP/1.1 199 Unknown",
                    "HTTP/1.1 600 Unknown",
                    "HTTP/1.1 999 Unknown",
                    "HTTP/1.1 20 Unknown",
                    "HTTP/1.1 2000 Unknown",
                    "HTTP/1.1 -200 Unknown",
                    "HTTP/1.1 abc Unknown",
                    "HTTP/1.1  OK",
                    "HTTP/1.1");

    private GatewayFixture mFixture;
    private ScriptedRunners mRunners;

    @BeforeEach
    void start() throws IOException {
        mFixture = new GatewayFixture();
        mRunners = new ScriptedRunners();
    }

    @AfterEach
    void stop() throws IOException {
        mRunners.close();
        mFixture.close();
    }

    static Stream<Arguments> answers() {
        List<Arguments> answers = new ArrayList<>();
        for (String statusLine : STATUS_LINES) {
            for (String path : List.of(PLAIN_PATH, STREAM_PATH)) {
                answers.add(Arguments.of(statusLine, path));
            }
        }
        return answers.stream();
    }

    static List<String> statusLines() {
        return STATUS_LINES;
    }

    /** A status from 100 to 199 announces another answer, for which the daemon has to wait. */
    static Stream<Arguments> finalAnswers() {
        return answers().filter(answer -> !answer.get()[0].toString().startsWith("HTTP/1.1 1"));
    }

    private String exchange(String path, Answer... answers) throws IOException {
        mRunners.register(mFixture, path.equals(PLAIN_PATH) ? "ledger" : "engine");
        mFixture.configure(1, "ledger");
        mFixture.awaitReady();
        mRunners.answer(answers);
        return ScriptedRunners.exchange(mFixture.frontAddress(), path, "c1");
    }

    private static Answer odd(String statusLine, End end) {
        return new Answer(
                statusLine
                        + "\r\nAttempt-Id: {id}\r\nServer-Seal: seal\r\nContent-Length: "
                        + BODY.length()
                        + "\r\n\r\n"
                        + BODY,
                end);
    }

    private static void assertIsFailureOfTheDaemon(String received) {
        assertThat(received, matchesPattern("(?s)HTTP/1\\.1 50[234] .*"));
        assertThat(received, not(containsString(BODY)));
        assertThat(received, not(containsString("Server-Seal")));
    }

    @ParameterizedTest
    @MethodSource("answers")
    void answerDoesNotReachTheCaller(String statusLine, String path) throws IOException {
        assertIsFailureOfTheDaemon(exchange(path, odd(statusLine, End.CLOSED)));
    }

    @ParameterizedTest
    @MethodSource("finalAnswers")
    void keptConnectionDoesNotChangeThat(String statusLine, String path) throws IOException {
        assertIsFailureOfTheDaemon(exchange(path, odd(statusLine, End.KEPT)));
    }

    /** The next runner of a stream that has begun answers oddly. */
    @ParameterizedTest
    @MethodSource("statusLines")
    void answerDoesNotEnterAStream(String statusLine) throws IOException {
        String received =
                exchange(
                        STREAM_PATH,
                        new Answer(
                                "HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nServer-Seal: seal\r\n"
                                        + "Content-Type: text/event-stream\r\n"
                                        + "Transfer-Encoding: chunked\r\n\r\n"
                                        + Integer.toHexString(EVENT.length())
                                        + "\r\n"
                                        + EVENT
                                        + "\r\n",
                                End.CLOSED),
                        odd(statusLine, End.CLOSED));
        assertThat(received, startsWith("HTTP/1.1 200"));
        assertThat(received, not(containsString(BODY)));
    }

    /** Guards against a daemon that collects the text after the status, which has no end. */
    @ParameterizedTest
    @ValueSource(strings = {"HTTP/1.1 000 ", "HTTP/1.1 200 "})
    void reasonWithoutEndDoesNotReachTheCaller(String statusLine) throws IOException {
        String reason = "x".repeat(1 << 20);
        assertIsFailureOfTheDaemon(
                exchange(PLAIN_PATH, new Answer(statusLine + reason, End.CLOSED)));
    }
}
