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

class CallerResponseTest {
    private final RecordingStream mStream = new RecordingStream();
    private final CallerResponse mResponse = new CallerResponse(mStream);

    /** Records all calls; a write completes when the test runs its callback. */
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
        mResponse.write(text.getBytes(StandardCharsets.UTF_8), id, () -> {});
    }

    /** Guards against concurrent writes when an attempt resumes the stream of a failed one. */
    @Test
    void writeOfNextAttemptWaitsForPreviousWrite() {
        mResponse.begin(200, List.of());
        write("one", "1");
        mResponse.begin(200, List.of());
        write("two", "2");
        assertThat(mStream.mLog, is(List.of("begin 200", "write one")));
        mStream.mWrites.remove().run();
        assertThat(mStream.mLog, is(List.of("begin 200", "write one", "write two")));
        assertThat(mResponse.lastEventId(), is("2"));
    }

    /** Guards against a response that is completed before its last part is written. */
    @Test
    void finishWaitsForLastWrite() {
        mResponse.begin(200, List.of());
        write("one", null);
        mResponse.finish();
        assertThat(mStream.mLog, is(List.of("begin 200", "write one")));
        mStream.mWrites.remove().run();
        assertThat(mStream.mLog, is(List.of("begin 200", "write one", "finish")));
    }

    /** Guards against ending a response twice, where the second end would hit the next request. */
    @Test
    void responseEndsOnlyOnce() {
        mResponse.refuse(Refusal.notRun(ErrorMessage.OVERLOADED));
        mResponse.finish();
        mResponse.abandon();
        write("late", null);
        assertThat(mStream.mLog, is(List.of("refuse OVERLOADED")));
    }
}
