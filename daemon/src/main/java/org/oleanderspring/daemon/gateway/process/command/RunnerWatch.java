package org.oleanderspring.daemon.gateway.process.command;

import java.time.Duration;
import org.jspecify.annotations.Nullable;
import org.oleanderspring.coordination.store.query.PacedWatch;
import org.oleanderspring.daemon.gateway.placement.command.RunnerWatchPace;

/**
 * The watch on the registered runners. The holder of the placement lease follows them with a short
 * pause between updates, the other daemons with a long one. Thread-safe.
 */
final class RunnerWatch implements RunnerWatchPace {
    /** How long a change may stay unseen by a daemon that does not hold the placement lease. */
    private static final Duration LONG_PAUSE = Duration.ofSeconds(1);

    private volatile Duration mPause = LONG_PAUSE;
    private volatile @Nullable PacedWatch mWatch;

    /** Sets the watch, which is started later than the duty that chooses the pause. */
    void connect(PacedWatch watch) {
        mWatch = watch;
        watch.setPause(mPause);
    }

    @Override
    public void useShortPause() {
        setPause(PacedWatch.DEFAULT_PAUSE);
    }

    @Override
    public void useLongPause() {
        setPause(LONG_PAUSE);
    }

    private void setPause(Duration pause) {
        mPause = pause;
        PacedWatch watch = mWatch;
        if (watch != null) {
            watch.setPause(pause);
        }
    }
}
