package org.oleanderspring.daemon.gateway.routing.command;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.oleanderspring.core.message.ErrorMessage;
import org.oleanderspring.core.port.Header;
import org.oleanderspring.daemon.front.Refusal;
import org.oleanderspring.daemon.front.ResponseStream;

class CallerAnswerTest {
    private final RecordingStream mStream = new RecordingStream();
    private final CallerAnswer mAnswer = new CallerAnswer(mStream);

    /** A stream whose writes end when the test says so. */
    private static final class RecordingStream implements ResponseStream {
        private final List<String> mLog = new ArrayList<>();
        private final Deque<Runnable> mWrites = new ArrayDeque<>();

        @Override
        public void begin(int status, List<Header> headers) {
            mLog.add("begin " + status);
        }

        @Override
        public void write(byte[] bytes, Runnable written) {
            mLog.add("write " + new String(bytes, StandardCharsets.UTF_8));
            mWrites.add(written);
        }

        @Override
        public void finish() {
            mLog.add("finish");
        }

        @Override
        public void refuse(Refusal refusal) {
            mLog.add("refuse " + refusal.message());
        }

        @Override
        public void abandon() {
            mLog.add("abandon");
        }
    }

    private void write(String text, String id) {
        mAnswer.write(text.getBytes(StandardCharsets.UTF_8), id, () -> {});
    }

    /** Guards against two writes at a time when an attempt goes on for one that broke. */
    @Test
    void writeOfTheNextAttemptWaitsForTheLastOne() {
        mAnswer.begin(200, List.of());
        write("one", "1");
        mAnswer.begin(200, List.of());
        write("two", "2");
        assertThat(mStream.mLog, is(List.of("begin 200", "write one")));
        mStream.mWrites.remove().run();
        assertThat(mStream.mLog, is(List.of("begin 200", "write one", "write two")));
        assertThat(mAnswer.lastEventId(), is("2"));
    }

    /** Guards against an answer that is ended before its last part was written. */
    @Test
    void endWaitsForTheLastWrite() {
        mAnswer.begin(200, List.of());
        write("one", null);
        mAnswer.finish();
        assertThat(mStream.mLog, is(List.of("begin 200", "write one")));
        mStream.mWrites.remove().run();
        assertThat(mStream.mLog, is(List.of("begin 200", "write one", "finish")));
    }

    /** Guards against a second end of an answer, which would belong to the next request. */
    @Test
    void answerEndsOnce() {
        mAnswer.refuse(Refusal.notRun(ErrorMessage.OVERLOADED));
        mAnswer.finish();
        mAnswer.abandon();
        write("late", null);
        assertThat(mStream.mLog, is(List.of("refuse OVERLOADED")));
    }
}
