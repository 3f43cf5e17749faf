package org.oleanderspring.daemon.gateway.process.command;

import java.time.Duration;
import org.jspecify.annotations.Nullable;
import org.oleanderspring.coordination.store.query.PacedWatch;
import org.oleanderspring.daemon.gateway.placement.command.RunnerWatchPace;

/** The watch of the registered runners, at the pace that this daemon's part asks for. */
final class RegistryFeed implements RunnerWatchPace {
    /** The longest that a change stays unseen by a daemon that gives no orders. */
    private static final Duration LOOSE = Duration.ofSeconds(1);

    private volatile Duration mPause = LOOSE;
    private volatile @Nullable PacedWatch mWatch;

    /** Sets the watch, which starts after the duty that chooses the pace. */
    void connect(PacedWatch watch) {
        mWatch = watch;
        watch.setPause(mPause);
    }

    @Override
    public void useShortPause() {
        pace(PacedWatch.DEFAULT_PAUSE);
    }

    @Override
    public void useLongPause() {
        pace(LOOSE);
    }

    private void pace(Duration pause) {
        mPause = pause;
        PacedWatch watch = mWatch;
        if (watch != null) {
            watch.setPause(pause);
        }
    }
}
