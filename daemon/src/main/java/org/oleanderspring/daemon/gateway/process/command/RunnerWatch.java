package org.oleanderspring.daemon.gateway.process.command;

import java.time.Duration;
import org.oleanderspring.coordination.watch.command.DefaultWatchDecider;
import org.oleanderspring.coordination.watch.command.WatchEvent;
import org.oleanderspring.daemon.gateway.GatewayKeys;
import org.oleanderspring.daemon.gateway.placement.command.RunnerWatchPace;
import org.oleanderspring.duty.command.EventSink;

/**
 * Sets the pause of the watch on the registered runners. The holder of the placement lease follows
 * them with a short pause between updates, the other daemons with a long one.
 */
final class RunnerWatch implements RunnerWatchPace {
    /**
     * The share of the drain limit for which a daemon that does not hold the placement lease may
     * not see that a runner leaves. The rest of the limit is for calls that are on their way.
     */
    private static final double LONG_PAUSE_SHARE = 0.5;

    private final EventSink<WatchEvent> mWatches;
    private final Duration mLongPause;

    /**
     * Creates the pace, and begins with the long pause.
     *
     * @param watches the ring of the duty that follows the runners
     * @param drainLimit the time after which a leaving runner must get no call
     */
    RunnerWatch(EventSink<WatchEvent> watches, Duration drainLimit) {
        mWatches = watches;
        mLongPause = Duration.ofNanos((long) (drainLimit.toNanos() * LONG_PAUSE_SHARE));
        useLongPause();
    }

    @Override
    public void useShortPause() {
        setPause(DefaultWatchDecider.DEFAULT_PAUSE);
    }

    @Override
    public void useLongPause() {
        setPause(mLongPause);
    }

    private void setPause(Duration pause) {
        mWatches.offer(new WatchEvent.PauseChanged(GatewayKeys.RUNNERS, pause));
    }
}
