package org.oleanderspring.coordination.store.query;

import java.time.Duration;

/** A running watch that pauses after news, so that changes in quick succession need one call. */
public interface PacedWatch extends WatchSubscription {
    /**
     * Changes the pause and ends the present one.
     *
     * @param pause how long the watch rests after news
     */
    void pace(Duration pause);

    /** Ends the present pause, because there is news that should not wait for its end. */
    void fetch();
}
