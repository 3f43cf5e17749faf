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
 * Guards how closely a daemon follows the registered runners: the holder of the placement must see
 * changes at once, also if it got the lease before its watch began.
 */
class RegistryFeedTest {
    private final RegistryFeed mFeed = new RegistryFeed();
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
    void paceChosenBeforeTheWatchBeginsIsKept() {
        mFeed.useShortPause();
        assertThat(mWatch.mCalls, empty());
        mFeed.connect(mWatch);
        assertThat(mWatch.mCalls, contains("PT0.06S"));
    }

    @Test
    void paceFollowsThePartOfTheDaemon() {
        mFeed.connect(mWatch);
        mFeed.useShortPause();
        mFeed.useLongPause();
        assertThat(mWatch.mCalls, contains("PT1S", "PT0.06S", "PT1S"));
    }
}
