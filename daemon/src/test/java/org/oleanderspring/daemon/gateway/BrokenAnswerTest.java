package org.oleanderspring.daemon.gateway;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.endsWith;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;
import static org.hamcrest.Matchers.startsWith;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.oleanderspring.daemon.gateway.ScriptedRunners.Answer;
import org.oleanderspring.daemon.gateway.ScriptedRunners.End;

/**
 * Answers of runners that break off at each point of the message. Guards against a broken answer
 * that looks complete to the caller, and against bytes of one answer in the middle of another.
 */
class BrokenAnswerTest {
    private static final String HEAD =
            "HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nServer-Seal: seal\r\n";
    private static final String STREAM_HEAD =
            HEAD + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
    private static final String UNFRAMED_STREAM_HEAD =
            HEAD + "Content-Type: text/event-stream\r\n\r\n";
    private static final String FIRST_EVENT = "id: 1\ndata: one\n\n";
    private static final String SECOND_EVENT = "id: 2\ndata: two\n\n";
    private static final String LAST_CHUNK = "0\r\n\r\n";
    private static final String ERROR_BODY = "engine-failure-text";

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

    private void begin() {
        mRunners.register(mFixture, "engine");
        mFixture.configure(1, "ledger");
        mFixture.awaitReady();
    }

    private String exchange() throws IOException {
        return ScriptedRunners.exchange(mFixture.frontAddress(), "/stream/1", "c1");
    }

    private static String chunk(String text) {
        return Integer.toHexString(text.length()) + "\r\n" + text + "\r\n";
    }

    /** The answers of the second runner after a stream has begun and broken off at the first. */
    static List<Answer> errorsOfTheNextRunner() {
        String failed =
                "HTTP/1.1 500 Internal Server Error\r\nAttempt-Id: {id}\r\nServer-Seal: seal\r\n";
        String whole = "Content-Length: " + ERROR_BODY.length() + "\r\n\r\n" + ERROR_BODY;
        List<Answer> errors = new ArrayList<>();
        errors.add(new Answer(failed + whole, End.KEPT));
        errors.add(new Answer(failed + "\r\n" + ERROR_BODY, End.CLOSED));
        errors.add(
                new Answer(
                        failed + "Transfer-Encoding: chunked\r\n\r\n" + chunk(ERROR_BODY),
                        End.RESET));
        errors.add(
                new Answer(
                        "HTTP/1.1 503 Service Unavailable\r\nAttempt-Id: {id}\r\n"
                                + "Not-Executed: 1\r\n"
                                + whole,
                        End.KEPT));
        errors.add(new Answer("HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\n" + whole, End.KEPT));
        errors.add(new Answer(ERROR_BODY + "\r\n\r\n", End.CLOSED));
        errors.add(new Answer("HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nServer-S", End.CLOSED));
        errors.add(new Answer("", End.CLOSED));
        return errors;
    }

    /** Guards against the error of the next runner in the middle of a stream. */
    @ParameterizedTest
    @MethodSource("errorsOfTheNextRunner")
    void errorOfTheNextRunnerDoesNotEnterTheStream(Answer error) throws IOException {
        begin();
        String begun = chunk(FIRST_EVENT + "id: 2\nda");
        mRunners.answer(new Answer(STREAM_HEAD + begun, End.CLOSED), error);
        String received = exchange();
        assertThat(received, startsWith("HTTP/1.1 200"));
        assertThat(received, containsString("data: one"));
        assertThat(received, not(containsString(ERROR_BODY)));
        assertThat("heads", received.split("HTTP/1.1", -1).length - 1, is(1));
        assertThat("must not look complete", received, not(endsWith(LAST_CHUNK)));
    }

    /** The points at which a stream of two events may break off. */
    static List<Answer> brokenStreams() {
        String sized =
                HEAD
                        + "Content-Type: text/event-stream\r\nContent-Length: "
                        + (FIRST_EVENT + SECOND_EVENT).length()
                        + "\r\n\r\n";
        return List.of(
                new Answer(STREAM_HEAD, End.CLOSED),
                new Answer(STREAM_HEAD + "1", End.CLOSED),
                new Answer(STREAM_HEAD + chunk(FIRST_EVENT), End.CLOSED),
                new Answer(STREAM_HEAD + chunk(FIRST_EVENT), End.RESET),
                new Answer(STREAM_HEAD + chunk(FIRST_EVENT + "id: 2\nda"), End.CLOSED),
                new Answer(STREAM_HEAD + chunk(FIRST_EVENT) + chunk(SECOND_EVENT), End.CLOSED),
                new Answer(sized, End.CLOSED),
                new Answer(sized + FIRST_EVENT, End.CLOSED),
                new Answer(sized + FIRST_EVENT + "id: 2", End.CLOSED),
                new Answer(UNFRAMED_STREAM_HEAD + FIRST_EVENT, End.RESET),
                new Answer(UNFRAMED_STREAM_HEAD + FIRST_EVENT + "id: 2", End.CLOSED));
    }

    /** Guards against a stream that ends as if it were complete. */
    @ParameterizedTest
    @MethodSource("brokenStreams")
    void streamThatBrokeOffDoesNotLookComplete(Answer broken) throws IOException {
        begin();
        mRunners.answer(broken, new Answer("", End.CLOSED));
        String received = exchange();
        boolean looksComplete =
                received.startsWith("HTTP/1.1 200") && received.endsWith(LAST_CHUNK);
        assertThat(received, looksComplete, is(false));
    }
}
