package org.oleanderspring.daemon.gateway.placement.command;

/**
 * Sets the pause between two updates from the watch on the registered runners.
 *
 * <p>Runners rewrite their entries about once a second as a heartbeat, so a daemon that reads each
 * change immediately makes nearly one call to the key-value service for each write. Only the holder
 * of the placement lease does so. The other daemons see a change at the end of a longer pause;
 * attempts at a runner that has left in the meantime are retried at another runner.
 */
public interface RunnerWatchPace {
    /** Reads changes almost immediately; called when this daemon acquires the placement lease. */
    void useShortPause();

    /** Reads changes after a longer pause; called when this daemon loses the placement lease. */
    void useLongPause();
}
