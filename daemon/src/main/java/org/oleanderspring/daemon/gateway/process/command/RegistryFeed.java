package org.oleanderspring.daemon.gateway.process.command;

import java.time.Duration;
import org.jspecify.annotations.Nullable;
import org.oleanderspring.coordination.store.query.PacedWatch;
import org.oleanderspring.daemon.gateway.placement.command.RunnerWatchPace;

/**
 * The watch on the registered runners. The holder of the placement lease follows them with a short
 * pause between updates, the other daemons with a long one. Thread-safe.
 */
final class RegistryFeed implements RunnerWatchPace {
    /** How long a change may stay unseen by a daemon that does not hold the placement lease. */
    private static final Duration LOOSE = Duration.ofSeconds(1);

    private volatile Duration mPause = LOOSE;
    private volatile @Nullable PacedWatch mWatch;

    /** Sets the watch, which is started later than the duty that chooses the pause. */
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
