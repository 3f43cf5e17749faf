package org.oleanderspring.coordination.store.query;

import java.time.Duration;

/**
 * A running watch that pauses after each batch of changes, so that changes in quick succession are
 * fetched with one call.
 */
public interface PacedWatch extends WatchSubscription {
    /**
     * The pause until {@link #setPause} sets another one; long enough to collect changes in quick
     * succession.
     */
    Duration DEFAULT_PAUSE = Duration.ofMillis(60);

    /**
     * Sets the pause for the following batches and ends the current pause.
     *
     * @param pause how long the watch waits after a batch of changes
     */
    void setPause(Duration pause);
}
