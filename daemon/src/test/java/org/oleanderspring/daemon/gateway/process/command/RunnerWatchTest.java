package org.oleanderspring.daemon.gateway.process.command;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.oleanderspring.coordination.watch.command.WatchEvent;
import org.oleanderspring.daemon.gateway.GatewayKeys;
import org.oleanderspring.duty.command.OfferResult;

/**
 * Guards against a holder of the placement lease that follows the registered runners with the long
 * pause, and against a daemon without the lease that follows them with the short one.
 */
class RunnerWatchTest {
    private static final Duration DRAIN_LIMIT = Duration.ofSeconds(2);

    private final List<WatchEvent> mEvents = new ArrayList<>();
    private final RunnerWatch mRunnerWatch =
            new RunnerWatch(
                    event -> {
                        mEvents.add(event);
                        return OfferResult.ACCEPTED;
                    },
                    DRAIN_LIMIT);

    @Test
    void pauseFollowsThePlacementLease() {
        mRunnerWatch.useShortPause();
        mRunnerWatch.useLongPause();
        assertThat(mEvents, contains(pause(1_000), pause(60), pause(1_000)));
    }

    private static WatchEvent pause(long millis) {
        return new WatchEvent.PauseChanged(GatewayKeys.RUNNERS, Duration.ofMillis(millis));
    }
}
