package org.oleanderspring.coordination.store.query;

import java.time.Duration;

/** A running watch that pauses after news, so that changes in quick succession need one call. */
public interface PacedWatch extends WatchSubscription {
    /** The pause until another one is set; changes that come in quick succession fit in it. */
    Duration DEFAULT_PAUSE = Duration.ofMillis(60);

    /**
     * Changes the pause and ends the present one.
     *
     * @param pause how long the watch rests after news
     */
    void setPause(Duration pause);
}
