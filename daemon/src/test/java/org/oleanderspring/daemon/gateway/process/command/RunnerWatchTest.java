package org.oleanderspring.daemon.gateway.process.command;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.oleanderspring.coordination.store.query.PacedWatch;

/**
 * Guards against a holder of the placement lease that follows the registered runners with the long
 * pause, for example because it acquired the lease before its watch was started.
 */
class RunnerWatchTest {
    private final RunnerWatch mRunnerWatch = new RunnerWatch();
    private final RecordingWatch mWatch = new RecordingWatch();

    private static final class RecordingWatch implements PacedWatch {
        private final List<String> mCalls = new ArrayList<>();

        @Override
        public void setPause(Duration pause) {
            mCalls.add(pause.toString());
        }

        @Override
        public void close() {
            mCalls.add("close");
        }
    }

    @Test
    void pauseChosenBeforeTheWatchStartsIsKept() {
        mRunnerWatch.useShortPause();
        assertThat(mWatch.mCalls, empty());
        mRunnerWatch.connect(mWatch);
        assertThat(mWatch.mCalls, contains("PT0.06S"));
    }

    @Test
    void pauseFollowsThePlacementLease() {
        mRunnerWatch.connect(mWatch);
        mRunnerWatch.useShortPause();
        mRunnerWatch.useLongPause();
        assertThat(mWatch.mCalls, contains("PT1S", "PT0.06S", "PT1S"));
    }
}
