package org.oleanderspring.daemon.gateway.placement.command;

/**
 * How closely this daemon follows the registered runners.
 *
 * <p>Runners write their entries again about once a second as a sign of life, so a daemon that
 * takes over each write at once makes a call for nearly each of them. One daemon, the holder of the
 * placement, does so. The others see a change at the end of their own pause; attempts at a runner
 * that has left meanwhile fail over.
 */
public interface RunnerWatchPace {
    /** Takes over changes at once. */
    void useShortPause();

    /** Takes over changes after a pause. */
    void useLongPause();
}
