package org.oleanderspring.daemon.gateway;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.oleanderspring.daemon.front.ReceivedAnswer;
import org.oleanderspring.daemon.front.ReceivedAnswer.Caller;
import org.oleanderspring.daemon.gateway.ScriptedRunners.Answer;
import org.oleanderspring.daemon.gateway.ScriptedRunners.End;
import org.oleanderspring.daemon.gateway.ScriptedRunners.Upload;

/**
 * Answers of runners that are broken, as callers see them that keep their connection or not. Guards
 * against a broken answer that looks complete, and against a sound one that does not.
 */
class AnswerFramingTest {
    private static final String PLAIN_PATH = "/order/1";
    private static final String STREAM_PATH = "/stream/1";
    private static final String HEAD =
            "HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nServer-Seal: seal\r\n";
    private static final String STREAM_HEAD = HEAD + "Content-Type: text/event-stream\r\n";
    private static final String CHUNKED = "Transfer-Encoding: chunked\r\n\r\n";
    private static final String BODY = "body-of-the-answer";
    private static final String FIRST_EVENT = "id: 1\ndata: one\n\n";
    private static final String SECOND_EVENT = "id: 2\ndata: two\n\n";

    private static final String ODD_BODY = "body-of-the-odd-answer";
    private static final Answer SOUND =
            new Answer(HEAD + "Content-Length: " + BODY.length() + "\r\n\r\n" + BODY, End.KEPT);

    private static final Answer SOUND_AND_LAST =
            new Answer(
                    HEAD
                            + "Connection: close\r\nContent-Length: "
                            + BODY.length()
                            + "\r\n\r\n"
                            + BODY,
                    End.CLOSED);

    /** More than the buffers of a connection hold. */
    private static final int UPLOAD_BYTES = 7_000_000;

    private static final int KEPT_CONNECTION_TRIES = 10;

    private GatewayFixture mFixture;
    private ScriptedRunners mRunners;
    private int mRequests;

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

    private void beginWithRunnersOf(String service) {
        mRunners.register(mFixture, service);
        mFixture.configureForUploads(1, "ledger");
        mFixture.awaitReady();
    }

    private void beginWithOneRunner() {
        mRunners.registerOne(mFixture, "ledger");
        mFixture.configureForUploads(1, "ledger");
        mFixture.awaitReady();
    }

    private ReceivedAnswer exchange(Caller caller, String path, int bodyBytes) throws IOException {
        mRequests++;
        return ReceivedAnswer.to(mFixture.frontAddress(), caller, path, "c" + mRequests, bodyBytes);
    }

    private static int bodyBytes(Upload upload) {
        return upload == Upload.FINISHED ? 1 : UPLOAD_BYTES;
    }

    private static String chunk(String text) {
        return Integer.toHexString(text.length()) + "\r\n" + text + "\r\n";
    }

    /** Beginnings of answers that are not whole, however their connection ends. */
    private static List<String> brokenTexts() {
        String longer = "Content-Length: " + (BODY.length() + 1) + "\r\n\r\n";
        return List.of(
                HEAD.substring(0, HEAD.length() - 2),
                HEAD,
                HEAD + longer,
                HEAD + longer + BODY,
                HEAD + CHUNKED,
                HEAD + CHUNKED + chunk(BODY),
                HEAD + CHUNKED + chunk(BODY).substring(0, BODY.length()));
    }

    /** Answers that break off. One without a length does so only by a reset. */
    private static List<Answer> brokenAnswers() {
        List<Answer> answers = new ArrayList<>();
        for (Upload upload : Upload.values()) {
            for (String text : brokenTexts()) {
                answers.add(new Answer(text, End.CLOSED, upload));
                answers.add(new Answer(text, End.RESET, upload));
            }
            answers.add(new Answer(HEAD + "\r\n", End.RESET, upload));
            answers.add(new Answer(HEAD + "\r\n" + BODY, End.RESET, upload));
        }
        return answers;
    }

    /** A stream takes a second, because the daemon waits before it tries the next runner. */
    private static List<Answer> brokenNextAnswers() {
        return List.of(
                new Answer("", End.RESET),
                new Answer(HEAD, End.CLOSED),
                new Answer(STREAM_HEAD + "\r\n", End.RESET),
                new Answer(STREAM_HEAD + "\r\nid: 2\ndata", End.CLOSED),
                new Answer(STREAM_HEAD + "\r\n" + SECOND_EVENT, End.RESET),
                new Answer(STREAM_HEAD + CHUNKED + chunk(SECOND_EVENT), End.CLOSED),
                new Answer(STREAM_HEAD + "\r\n" + SECOND_EVENT, End.RESET, Upload.IN_PROGRESS),
                new Answer(STREAM_HEAD + CHUNKED, End.CLOSED, Upload.IN_PROGRESS));
    }

    private static void assertDoesNotLookComplete(Answer sent, ReceivedAnswer received) {
        boolean isFailureOfTheDaemon =
                received.head().matches("(?s)HTTP/1\\.[01] 50[234] .*")
                        && !received.head().contains("Server-Seal");
        assertThat(
                sent + " " + received, received.isComplete() && !isFailureOfTheDaemon, is(false));
    }

    /** Plays all lengths of the body; HostedAttemptTest plays those of the head. */
    @ParameterizedTest
    @EnumSource
    void bodyThatBreaksOffAtAnyByteDoesNotLookComplete(Caller caller) throws IOException {
        beginWithRunnersOf("ledger");
        String sized = HEAD + "Content-Length: " + BODY.length() + "\r\n\r\n";
        String chunk = chunk(BODY);
        for (int length = 0; length < chunk.length(); length++) {
            assertBreaksOff(
                    caller, new Answer(HEAD + CHUNKED + chunk.substring(0, length), End.CLOSED));
        }
        for (int length = 0; length < BODY.length(); length++) {
            String begun = BODY.substring(0, length);
            assertBreaksOff(caller, new Answer(sized + begun, End.CLOSED));
            assertBreaksOff(caller, new Answer(HEAD + "\r\n" + begun, End.RESET));
        }
    }

    private void assertBreaksOff(Caller caller, Answer broken) throws IOException {
        mRunners.answer(broken);
        int sentBefore = mRunners.answersSent();
        ReceivedAnswer received = exchange(caller, PLAIN_PATH, bodyBytes(broken.upload()));
        assertThat("was played: " + broken, mRunners.answersSent(), is(sentBefore + 1));
        assertDoesNotLookComplete(broken, received);
        // Ends the back-off of the runner, which would refuse the next request.
        assertArrivesWhole(caller, BODY, SOUND);
    }

    /** Guards against an answer without a length that is lost because it ends as a broken one. */
    @ParameterizedTest
    @EnumSource
    void answerThatEndsWithItsConnectionArrivesWhole(Caller caller) throws IOException {
        beginWithRunnersOf("ledger");
        for (int length = 0; length <= BODY.length(); length++) {
            assertArrivesWhole(
                    caller,
                    BODY.substring(0, length),
                    new Answer(HEAD + "\r\n" + BODY.substring(0, length), End.CLOSED));
        }
    }

    /** Answers that are whole although the runner has read only the head of the request. */
    private static List<Answer> soundEarlyAnswers() {
        List<Answer> answers = new ArrayList<>();
        for (End end : List.of(End.KEPT, End.HALF_CLOSED)) {
            answers.add(new Answer(SOUND.text(), end, Upload.IN_PROGRESS));
            answers.add(
                    new Answer(
                            HEAD + CHUNKED + chunk(BODY) + "0\r\n\r\n", end, Upload.IN_PROGRESS));
        }
        answers.add(new Answer(HEAD + "\r\n" + BODY, End.HALF_CLOSED, Upload.IN_PROGRESS));
        return answers;
    }

    /** Guards against a sound answer that is lost because its runner did not wait for the body. */
    @ParameterizedTest
    @EnumSource
    void answerDuringTheUploadArrivesWhole(Caller caller) throws IOException {
        beginWithRunnersOf("ledger");
        for (Answer early : soundEarlyAnswers()) {
            assertArrivesWhole(caller, BODY, early);
        }
    }

    private void assertArrivesWhole(Caller caller, String body, Answer answer) throws IOException {
        mRunners.answer(answer);
        ReceivedAnswer received = exchange(caller, PLAIN_PATH, bodyBytes(answer.upload()));
        assertThat(received.toString(), received.isComplete(), is(true));
        assertThat(received.head(), containsString("Server-Seal: seal"));
        assertThat(received.body(), is(body));
    }

    @ParameterizedTest
    @EnumSource
    void brokenAnswerDoesNotLookComplete(Caller caller) throws IOException {
        beginWithRunnersOf("ledger");
        for (Answer broken : brokenAnswers()) {
            assertBreaksOff(caller, broken);
        }
    }

    /** The stream breaks off, and so do the answers of the next runners. */
    @ParameterizedTest
    @EnumSource
    void brokenStreamDoesNotLookComplete(Caller caller) throws IOException {
        beginWithRunnersOf("engine");
        for (Answer next : brokenNextAnswers()) {
            Answer begun =
                    new Answer(
                            STREAM_HEAD + CHUNKED + chunk(FIRST_EVENT), End.RESET, next.upload());
            mRunners.answer(begun, next);
            int sentBefore = mRunners.answersSent();
            ReceivedAnswer received = exchange(caller, STREAM_PATH, bodyBytes(next.upload()));
            assertThat("both were played", mRunners.answersSent() - sentBefore, greaterThan(1));
            assertDoesNotLookComplete(next, received);
            assertThat(received.body(), containsString(FIRST_EVENT));
        }
    }

    /** Answers that are none in the protocol, by their status or the name of a field. */
    private static List<String> oddTexts() {
        String rest = "Content-Length: " + ODD_BODY.length() + "\r\n\r\n" + ODD_BODY;
        return List.of(
                HEAD.replace("200 OK", "000 Unknown") + rest,
                HEAD.replace("200 OK", "600 Unknown") + rest,
                HEAD + "X Name: v\r\n" + rest,
                HEAD + "X-Name : v\r\n" + rest,
                HEAD + " X-Name: v\r\n" + rest,
                HEAD + "X-\u0001Name: v\r\n" + rest,
                HEAD + "\nX-Name: v\r\n" + rest,
                HEAD + "Content-Length : 3\r\n\r\n" + ODD_BODY,
                ODD_BODY + "\r\n\r\n");
    }

    private static void assertIsFailureOfTheDaemon(Answer sent, ReceivedAnswer received) {
        assertDoesNotLookComplete(sent, received);
        assertThat(sent + " " + received, received.body(), not(containsString(ODD_BODY)));
        assertThat(sent + " " + received, received.head(), not(containsString("Server-Seal")));
    }

    /** Plays each odd answer on a new and on a kept connection to its runner. */
    @ParameterizedTest
    @EnumSource
    void oddAnswerDoesNotReachTheCaller(Caller caller) throws IOException {
        beginWithOneRunner();
        for (Answer before : List.of(SOUND_AND_LAST, SOUND)) {
            for (Upload upload : Upload.values()) {
                for (String text : oddTexts()) {
                    assertFailsAfter(before, caller, new Answer(text, End.KEPT, upload));
                }
            }
        }
    }

    /**
     * A caller's next request may come before the daemon has put back the connection of the one
     * before, and then opens another one, so a few tries are allowed for a kept connection.
     */
    private void assertFailsAfter(Answer before, Caller caller, Answer odd) throws IOException {
        int expected = before.end() == End.KEPT ? 1 : 0;
        for (int attempt = 0; attempt < KEPT_CONNECTION_TRIES; attempt++) {
            assertArrivesWhole(caller, BODY, before);
            int keptBefore = mRunners.answersOnKeptConnections();
            mRunners.answer(odd);
            int sentBefore = mRunners.answersSent();
            assertIsFailureOfTheDaemon(odd, exchange(caller, PLAIN_PATH, bodyBytes(odd.upload())));
            assertThat("was played: " + odd, mRunners.answersSent(), is(sentBefore + 1));
            if (mRunners.answersOnKeptConnections() - keptBefore == expected) {
                return;
            }
        }
        throw new AssertionError("not played on the connection of " + before + ": " + odd);
    }

    /**
     * Plays each odd answer at the beginning of a stream and at its next runner; another runner
     * then completes the stream.
     */
    @Test
    void oddAnswerDoesNotEnterAStream() throws IOException {
        beginWithRunnersOf("engine");
        Answer begun = new Answer(STREAM_HEAD + CHUNKED + chunk(FIRST_EVENT), End.CLOSED);
        for (String text : oddTexts()) {
            Answer odd = new Answer(text, End.KEPT);
            assertStreamIsWhole(FIRST_EVENT, odd, wholeStream(FIRST_EVENT));
            assertStreamIsWhole(FIRST_EVENT + SECOND_EVENT, begun, odd, wholeStream(SECOND_EVENT));
        }
    }

    private static Answer wholeStream(String events) {
        return new Answer(STREAM_HEAD + CHUNKED + chunk(events) + "0\r\n\r\n", End.KEPT);
    }

    private void assertStreamIsWhole(String events, Answer... answers) throws IOException {
        mRunners.answer(answers);
        int sentBefore = mRunners.answersSent();
        ReceivedAnswer received = exchange(Caller.CLOSES_CONNECTION, STREAM_PATH, 1);
        assertThat("all were played", mRunners.answersSent(), is(sentBefore + answers.length));
        assertThat(received.toString(), received.isComplete(), is(true));
        assertThat(received.head(), containsString("Server-Seal: seal"));
        assertThat(received.body(), is(events));
    }

    /** The runner answers before it gets the request, so that the upload has not begun. */
    @ParameterizedTest
    @EnumSource
    void answerBeforeTheRequestDoesNotReachTheCaller(Caller caller) throws Exception {
        beginWithOneRunner();
        List<Answer> early = new ArrayList<>();
        oddTexts().forEach(text -> early.add(new Answer(text, End.KEPT)));
        early.add(new Answer(HEAD + "\r\n" + ODD_BODY, End.RESET));
        for (Answer before : List.of(SOUND_AND_LAST, SOUND)) {
            for (Answer answer : early) {
                assertArrivesWhole(caller, BODY, before);
                mRunners.answer(SOUND);
                String text = answer.text().replace("{id}", "c" + (mRequests + 1));
                mRunners.answerBeforeRequests(new Answer(text, answer.end()));
                ReceivedAnswer received = exchange(caller, PLAIN_PATH, 1);
                mRunners.answerBeforeRequests(null);
                assertThat(
                        answer + " " + received,
                        received.isComplete() && received.body().contains(ODD_BODY),
                        is(false));
            }
        }
    }
}
